package org.heatherhaven.core.event;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.model.AnswerAnomaly;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Header;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;

/** Events of calls that pass through this node. */
public sealed interface TrafficEvent extends Event {

    /** Listener at which a call arrived. */
    enum EntryPoint {
        /** Listener for external callers, who send an API key. */
        CALLER,
        /** Listener for this node's target, which sends the context of the call that it is running. */
        TARGET
    }

    /**
     * The head of a call was read.
     *
     * @param call number of the call, never reused by this process
     * @param entryPoint listener at which it arrived
     * @param request the request as received
     */
    record CallArrived(long call, EntryPoint entryPoint, CallRequest request) implements TrafficEvent {}

    /**
     * A request of a caller.
     *
     * @param id identifier that the caller gave the request
     * @param host host that the caller named, empty if none
     * @param method HTTP method
     * @param path path with query
     * @param headers end-to-end headers without credentials
     * @param keyHash SHA-256 of the API key
     * @param context context id that the target received with the call it is running
     * @param timeout timeout that the caller requested
     * @param idempotencyKey idempotency key of a request that must run at most once
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
     * @param refusal the refusal
     * @param signal load and overload feedback of the target's node
     * @param resendable true if the request body is still buffered, so that the call can be sent again
     */
    record AttemptRefused(long call, int attempt, Refusal refusal, Signal signal, boolean resendable)
            implements TrafficEvent {}

    /**
     * An attempt ended without a response.
     *
     * @param call number of the call
     * @param attempt number of the attempt
     * @param outcome {@link Outcome#NOT_RUN} if nothing of it was sent
     * @param resendable true if the request body is still buffered, so that the call can be sent again
     */
    record AttemptLost(long call, int attempt, Outcome outcome, boolean resendable) implements TrafficEvent {}

    /**
     * A response was passed on completely, or ended early.
     *
     * @param call number of the call
     * @param attempt number of the attempt
     * @param complete true if the complete response was received
     * @param signal load and overload feedback of the target's node
     */
    record AttemptEnded(long call, int attempt, boolean complete, Signal signal) implements TrafficEvent {}

    /**
     * The caller closed its connection before the response.
     *
     * @param call number of the call
     */
    record CallerGone(long call) implements TrafficEvent {}

    /**
     * A peer offers a call for this node's target.
     *
     * @param key key of the offer
     * @param head description of the call
     */
    record OfferArrived(OfferKey key, CallHead head) implements TrafficEvent {}

    /**
     * The peer cancelled its offer.
     *
     * @param key key of the offer
     */
    record OfferCancelled(OfferKey key) implements TrafficEvent {}

    /**
     * A peer's connection was closed, which cancels the offers on it.
     *
     * @param link number of the connection
     */
    record LinkClosed(long link) implements TrafficEvent {}

    /** Result of a call at the target. */
    enum TargetResult {
        /** The target responded, and the response was passed on. */
        ANSWERED,
        /** The target responded that it is overloaded, without stating whether it ran the call. */
        OVERLOADED,
        /** The target responded that it did not run the call. */
        REFUSED,
        /** Another process uses the target's address, and did not run the call. */
        REPLACED,
        /** The connection could not be opened, and nothing was sent. */
        NOT_SENT,
        /** The response ended early or never arrived. */
        FAILED,
        /** This node cancelled the call, because its deadline passed or the peer cancelled the offer. */
        ABORTED
    }

    /**
     * A call at the target ended.
     *
     * @param key key of the offer
     * @param result result of the call
     */
    record TargetEnded(OfferKey key, TargetResult result) implements TrafficEvent {}

    /**
     * A connection to the target received something other than the complete response to the call in hand.
     *
     * @param requestId identifier of the call that uses the connection, or used it last if the connection is idle
     * @param anomaly what was received
     * @param detail figures that tell how it came about
     */
    record TargetAnomalySeen(String requestId, AnswerAnomaly anomaly, String detail) implements TrafficEvent {}
}
