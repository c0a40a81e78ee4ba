package org.heatherhaven.core.effect;

import java.time.Duration;
import java.util.Optional;

import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.message.PeerMessage;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Grant;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.PolicyVersion;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.core.model.TargetRef;

/** Something that the node shall do. */
public sealed interface Effect {

    /**
     * Send a control message.
     *
     * @param to the peer
     * @param message the message
     */
    record Send(NodeId to, PeerMessage message) implements Effect {}

    /**
     * Answer a caller with a refusal.
     *
     * @param call number of the call
     * @param requestId identifier shown to the caller
     * @param policyVersion version that judged the call
     * @param refusal the refusal
     */
    record RefuseCall(long call, String requestId, long policyVersion, Refusal refusal) implements Effect {}

    /**
     * Send a call to the node of a target.
     *
     * @param call number of the call
     * @param attempt number of the attempt, from 1
     * @param to the node
     * @param head the call
     */
    record ForwardCall(long call, int attempt, NodeId to, CallHead head) implements Effect {}

    /**
     * Tell the node of the target that the answer is no longer wanted.
     *
     * @param call number of the call
     * @param attempt number of the attempt
     */
    record CancelAttempt(long call, int attempt) implements Effect {}

    /**
     * Hand a call to the target.
     *
     * @param key names the offer
     * @param target the process life that shall run it
     * @param context context id that the target shall send with its own calls
     * @param timeout time left
     */
    record RunOffer(OfferKey key, TargetRef target, String context, Duration timeout) implements Effect {}

    /**
     * Refuse an offered call.
     *
     * @param key names the offer
     * @param refusal the refusal
     * @param signal news for upstream
     */
    record RefuseOffer(OfferKey key, Refusal refusal, Signal signal) implements Effect {}

    /**
     * Close the answer of a call with the node's signal.
     *
     * @param key names the offer
     * @param complete false if the answer broke off
     * @param signal news for upstream
     */
    record FinishOffer(OfferKey key, boolean complete, Signal signal) implements Effect {}

    /**
     * Cancel a call at the target.
     *
     * @param key names the offer
     */
    record AbortRun(OfferKey key) implements Effect {}

    /** Close every connection that peers opened to this node: what is in them may be old. */
    record CloseLinks() implements Effect {}

    /**
     * Read the object of a right.
     *
     * @param lease the right
     */
    record ReadGrant(LeaseId lease) implements Effect {}

    /**
     * Create the object of a right, if absent.
     *
     * @param lease the right
     * @param grant its content
     */
    record CreateGrant(LeaseId lease, Grant grant) implements Effect {}

    /**
     * Update the object of a right, if it still has a version.
     *
     * @param lease the right
     * @param grant its content
     * @param objectVersion the version expected
     */
    record UpdateGrant(LeaseId lease, Grant grant, long objectVersion) implements Effect {}

    /**
     * Read the policy versions after one, waiting for a while if there is none.
     *
     * @param after the version in force here
     */
    record ReadPolicy(long after) implements Effect {}

    /**
     * Create a policy version, if absent.
     *
     * @param version the version
     */
    record WritePolicy(PolicyVersion version) implements Effect {}

    /**
     * Keep a whole policy on the platform, for nodes that start later.
     *
     * @param snapshot the policy
     */
    record WriteSnapshot(PolicySnapshot snapshot) implements Effect {}

    /** How a patch ended. */
    enum PatchVerdict {
        ACCEPTED,
        REJECTED,
        UNKNOWN
    }

    /**
     * Tell the operator how a patch ended.
     *
     * @param patchId the patch
     * @param verdict how it ended
     * @param version version created, or in force
     * @param reason why it was rejected
     */
    record AnswerPatch(String patchId, PatchVerdict verdict, long version, Optional<String> reason) implements Effect {}

    /** Read announced members from the platform. */
    record ListMembers() implements Effect {}

    /**
     * Remove the announcement of a member that is gone.
     *
     * @param member the process life that is over
     */
    record RemoveAnnouncement(Owner member) implements Effect {}

    /**
     * Measure how long something took.
     *
     * @param timing what took the time
     * @param duration the time
     */
    record RecordDuration(Timing timing, Duration duration) implements Effect {}

    /**
     * Note a decision, so that it can be explained.
     *
     * @param decision the decision
     */
    record RecordDecision(Decision decision) implements Effect {}

    /**
     * Count a retry.
     *
     * @param reason why the attempt before ended
     */
    record CountRetry(Reason reason) implements Effect {}

    /** How a report of the target was taken. */
    enum ReportVerdict {
        /** It holds. */
        ACCEPTED,
        /** A newer one holds. */
        OUTDATED,
        /** It names no service that is known. */
        UNKNOWN_SERVICE
    }

    /**
     * Acknowledge a report of the target; what it says is in force.
     *
     * @param ticket number of the report
     * @param verdict how it was taken
     */
    record AcknowledgeTarget(long ticket, ReportVerdict verdict) implements Effect {}

    /** Everything is finished and handed over; the process may end. */
    record Terminate() implements Effect {}
}
