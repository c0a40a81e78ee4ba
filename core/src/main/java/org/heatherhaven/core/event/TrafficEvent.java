package org.heatherhaven.core.event;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Header;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;

/** What happens to calls on their way through this node. */
public sealed interface TrafficEvent extends Event {

    /** Where a call comes from. */
    enum EntryPoint {
        /** A caller outside, who presents a key. */
        CALLER,
        /** The target of this node, which presents the context of the request it works on. */
        TARGET
    }

    /**
     * The head of a call was read.
     *
     * @param call number of the call, never reused by this process
     * @param entryPoint where it comes from
     * @param request what the caller asks for
     */
    record CallArrived(long call, EntryPoint entryPoint, CallRequest request) implements TrafficEvent {}

    /**
     * What a caller asks for.
     *
     * @param id identifier that the caller gave the request
     * @param host host that the caller named, empty if none
     * @param method HTTP method
     * @param path path with query
     * @param headers end-to-end headers without credentials
     * @param keyHash SHA-256 of the presented key
     * @param context context id that the target sent back
     * @param timeout time that the caller is willing to wait
     * @param idempotencyKey key of an unrepeatable request
     */
    record CallRequest(
            Optional<String> id,
            String host,
            String method,
            String path,
            List<Header> headers,
            Optional<String> keyHash,
            Optional<String> context,
            Optional<Duration> timeout,
            Optional<String> idempotencyKey) {}

    /**
     * The node of the target refused an attempt.
     *
     * @param call number of the call
     * @param attempt number of the attempt
     * @param refusal what it said
     * @param signal its signal
     * @param resendable true if the body of the request is still at hand
     */
    record AttemptRefused(long call, int attempt, Refusal refusal, Signal signal, boolean resendable)
            implements TrafficEvent {}

    /**
     * An attempt ended without any answer.
     *
     * @param call number of the call
     * @param attempt number of the attempt
     * @param outcome {@link Outcome#NOT_RUN} if nothing of it left this node
     * @param resendable true if the body of the request is still at hand
     */
    record AttemptLost(long call, int attempt, Outcome outcome, boolean resendable) implements TrafficEvent {}

    /**
     * An answer was passed on to its end, or broke off.
     *
     * @param call number of the call
     * @param attempt number of the attempt
     * @param complete true if the whole answer was received
     * @param signal signal of the target's node
     */
    record AttemptEnded(long call, int attempt, boolean complete, Signal signal) implements TrafficEvent {}

    /**
     * The caller closed its connection before the answer.
     *
     * @param call number of the call
     */
    record CallerGone(long call) implements TrafficEvent {}

    /**
     * A peer offers a call for this node's target.
     *
     * @param key names the offer
     * @param head the call
     */
    record OfferArrived(OfferKey key, CallHead head) implements TrafficEvent {}

    /**
     * The peer no longer wants the answer.
     *
     * @param key names the offer
     */
    record OfferCancelled(OfferKey key) implements TrafficEvent {}

    /**
     * A peer's connection was closed; its offers are void.
     *
     * @param link number of the connection
     */
    record LinkClosed(long link) implements TrafficEvent {}

    /** How a target ended a call. */
    enum TargetResult {
        /** It answered, and the answer was passed on. */
        ANSWERED,
        /** It answered that it is overloaded, and did not say whether it ran the call. */
        OVERLOADED,
        /** It answered that it did not run the call. */
        REFUSED,
        /** Another process has its address, and did not run the call. */
        REPLACED,
        /** The connection could not be made; nothing was sent. */
        NOT_SENT,
        /** The answer broke off or never came. */
        FAILED,
        /** This node gave up waiting, because of a deadline or a cancellation. */
        ABORTED
    }

    /**
     * The target is done with a call.
     *
     * @param key names the offer
     * @param result how it ended
     */
    record TargetEnded(OfferKey key, TargetResult result) implements TrafficEvent {}
}
