package org.heatherhaven.core.effect;

import java.time.Duration;
import java.util.Optional;

import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.message.PeerMessage;
import org.heatherhaven.core.model.AnswerAnomaly;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Departure;
import org.heatherhaven.core.model.Grant;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.PolicyVersion;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.core.model.TargetRef;

/** An action that the node carries out after the reducer has handled an event. */
public sealed interface Effect {

    /**
     * Sends a control message to a peer.
     *
     * @param to address of the peer
     * @param message the message
     */
    record Send(NodeId to, PeerMessage message) implements Effect {}

    /**
     * Answers a caller with a refusal.
     *
     * @param call number of the call
     * @param requestId request identifier shown to the caller
     * @param policyVersion policy version that was applied to the call
     * @param refusal the refusal
     */
    record RefuseCall(long call, String requestId, long policyVersion, Refusal refusal) implements Effect {}

    /**
     * Offers a call to the node of a target.
     *
     * @param call number of the call
     * @param attempt number of the attempt, from 1
     * @param to node of the target
     * @param head description of the call
     */
    record ForwardCall(long call, int attempt, NodeId to, CallHead head) implements Effect {}

    /**
     * Cancels an attempt at the node of the target, because its response is no longer needed.
     *
     * @param call number of the call
     * @param attempt number of the attempt
     */
    record CancelAttempt(long call, int attempt) implements Effect {}

    /**
     * Cancels an attempt at the node of the target, but still waits for its end, which tells whether the call has run.
     *
     * @param call number of the call
     * @param attempt number of the attempt
     */
    record WithdrawAttempt(long call, int attempt) implements Effect {}

    /**
     * Sends an offered call to the target.
     *
     * @param key key of the offer
     * @param target target process that runs it
     * @param context context id that the target sends with the calls it makes for this one
     * @param timeout time left until the deadline
     */
    record RunOffer(OfferKey key, TargetRef target, String context, Duration timeout) implements Effect {}

    /**
     * Refuses an offered call.
     *
     * @param key key of the offer
     * @param refusal the refusal
     * @param signal load and overload feedback for the entry node
     */
    record RefuseOffer(OfferKey key, Refusal refusal, Signal signal) implements Effect {}

    /**
     * Ends the response of a call, and sends the node's signal with it.
     *
     * @param key key of the offer
     * @param complete false if the response ended early
     * @param signal load and overload feedback for the entry node
     */
    record FinishOffer(OfferKey key, boolean complete, Signal signal) implements Effect {}

    /**
     * Cancels a call at the target.
     *
     * @param key key of the offer
     */
    record AbortRun(OfferKey key) implements Effect {}

    /**
     * Closes every connection that peers opened to this node. Used after a pause of the process, because data received
     * meanwhile may be outdated.
     */
    record CloseLinks() implements Effect {}

    /**
     * Reads the object of a lease from the platform.
     *
     * @param lease the lease
     */
    record ReadGrant(LeaseId lease) implements Effect {}

    /**
     * Creates the object of a lease on the platform if it does not exist.
     *
     * @param lease the lease
     * @param grant content of the object
     */
    record CreateGrant(LeaseId lease, Grant grant) implements Effect {}

    /**
     * Updates the object of a lease on the platform if its version is the expected one.
     *
     * @param lease the lease
     * @param grant content of the object
     * @param objectVersion expected version of the object
     */
    record UpdateGrant(LeaseId lease, Grant grant, long objectVersion) implements Effect {}

    /**
     * Reads the policy versions that follow a version from the platform, which waits a limited time for one.
     *
     * @param after policy version in force at this node
     */
    record ReadPolicy(long after) implements Effect {}

    /**
     * Creates a policy version on the platform if no version has its number yet.
     *
     * @param version the policy version
     */
    record WritePolicy(PolicyVersion version) implements Effect {}

    /**
     * Stores a complete policy on the platform for nodes that start later.
     *
     * @param snapshot the complete policy
     */
    record WriteSnapshot(PolicySnapshot snapshot) implements Effect {}

    /** Result of a patch; the name is written to the operator's response. */
    enum PatchVerdict {
        ACCEPTED,
        REJECTED,
        UNKNOWN
    }

    /**
     * Sends the result of a patch to the operator who submitted it.
     *
     * @param patchId identifier of the patch
     * @param verdict result of the patch
     * @param version version that the patch created if accepted, otherwise the version in force
     * @param reason reason of a rejection
     */
    record AnswerPatch(String patchId, PatchVerdict verdict, long version, Optional<String> reason) implements Effect {}

    /**
     * Writes this node's announcement to the platform, in place of that of an earlier process.
     *
     * @param self this node's own entry
     */
    record Announce(Member self) implements Effect {}

    /**
     * Checks that this process is announced on the platform, and writes its announcement again if it is not.
     *
     * @param self this node's own entry
     */
    record CheckAnnouncement(Member self) implements Effect {}

    /**
     * Reads the departure of a target that an earlier process of this node stored on the platform.
     *
     * @param node this node
     */
    record ReadDeparture(NodeId node) implements Effect {}

    /**
     * Stores on the platform that a process of this node's target leaves, in place of an earlier departure.
     *
     * @param node this node
     * @param departure the departure
     */
    record StoreDeparture(NodeId node, Departure departure) implements Effect {}

    /**
     * Reads the announced members from the platform.
     *
     * @param staleSuffices true if announcements of the last seconds may be missing, as such a read costs less
     */
    record ListMembers(boolean staleSuffices) implements Effect {}

    /**
     * Removes the announcement of a member that left or failed from the platform.
     *
     * @param member process that has ended
     */
    record RemoveAnnouncement(Owner member) implements Effect {}

    /**
     * Adds a duration to a histogram.
     *
     * @param timing histogram of the duration
     * @param duration the measured duration
     */
    record RecordDuration(Timing timing, Duration duration) implements Effect {}

    /**
     * Records a decision, so that operators can look it up.
     *
     * @param decision the decision
     */
    record RecordDecision(Decision decision) implements Effect {}

    /**
     * Counts a retry in the metrics.
     *
     * @param reason reason why the previous attempt ended
     */
    record CountRetry(Reason reason) implements Effect {}

    /**
     * Counts an anomaly of the target's responses in the metrics.
     *
     * @param anomaly what was received
     */
    record CountAnomaly(AnswerAnomaly anomaly) implements Effect {}

    /** Result of a report of the target. */
    enum ReportVerdict {
        /** The report was applied. */
        ACCEPTED,
        /** A newer report was applied before. */
        OUTDATED,
        /** The target leaves, but that could not be stored on the platform; it is attempted again. */
        NOT_STORED,
        /** The report names a service that is neither the home service nor used by a route of the policy. */
        UNKNOWN_SERVICE
    }

    /**
     * Acknowledges a report of the target after the reducer has handled it.
     *
     * @param ticket number under which the report was submitted
     * @param verdict result of the report
     */
    record AcknowledgeTarget(long ticket, ReportVerdict verdict) implements Effect {}

    /** Ends the process, after all calls are finished and all leases are handed over. */
    record Terminate() implements Effect {}
}
