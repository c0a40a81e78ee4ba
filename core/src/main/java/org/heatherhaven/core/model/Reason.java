package org.heatherhaven.core.model;

import java.util.Locale;

/**
 * Reason of a refusal, with its HTTP status. The label of each constant is shown to callers and names a metric; the
 * ordinal is sent to peers.
 */
public enum Reason {
    /** The request is malformed. */
    BAD_REQUEST(400, false),
    /** The route requires an API key, and the request has none. */
    KEY_MISSING(401, false),
    /** The API key is not valid. */
    KEY_UNKNOWN(403, false),
    /** A nested call belongs to a call that has ended. */
    CONTEXT_ENDED(403, false),
    /** No route of the policy matches the host and path. */
    NO_ROUTE(404, false),
    /** An earlier submission with the same idempotency key ran or may have run. */
    DUPLICATE(409, false),
    /** One root request makes too many nested calls. */
    TOO_MANY_CALLS(429, false),
    /** The head or the body of the request exceeds a limit. */
    TOO_LARGE(413, false),
    /** The rate and burst of the team are used up. */
    RATE(429, false),
    /** Shed by the entry node because of overload downstream. */
    SHED_AT_ENTRY(503, false),
    /** Shed by the node of an overloaded target. */
    SHED_AT_TARGET(503, true),
    /** The queue of the target is full. */
    QUEUE_FULL(503, true),
    /** The call would not start or finish at the target before its deadline. */
    TOO_LATE(504, false),
    /** No target of the service is available. */
    NO_TARGET(503, true),
    /** The node is draining. */
    DRAINING(503, true),
    /** An owner of the team's rate does not respond. */
    QUOTA_UNAVAILABLE(503, false),
    /** The holder of the idempotency ledger does not respond, or its ledger is incomplete. */
    LEDGER_UNAVAILABLE(503, false),
    /** The idempotency ledger has no room for another key. */
    LEDGER_FULL(503, false),
    /** The policy was not confirmed recently enough for keys to be accepted. */
    POLICY_STALE(503, false),
    /** This node has no policy yet. */
    POLICY_UNKNOWN(503, false),
    /** A node has too many calls in progress, or was too slow to handle the call in time. */
    NODE_OVERLOADED(503, false),
    /** The retry budget of the service does not cover another retry. */
    REPEAT_LIMIT(503, false),
    /** The target responded that it is overloaded. */
    TARGET_OVERLOADED(503, true),
    /** Another process uses the address of the target. */
    TARGET_REPLACED(503, true),
    /** The target refused the connection, or ended the response early. */
    TARGET_FAILED(502, true),
    /** The node of the target could not be reached, or the connection to it broke. */
    LINK_LOST(502, true),
    /** The deadline passed. */
    TIMEOUT(504, false),
    /** The caller closed its connection. */
    CALLER_GONE(499, false);

    private final int status;
    private final boolean retryable;

    Reason(int status, boolean retryable) {
        this.status = status;
        this.retryable = retryable;
    }

    /**
     * Returns the HTTP status of the refusal.
     *
     * @return status code
     */
    public int status() {
        return status;
    }

    /**
     * Returns whether an attempt at another target may succeed.
     *
     * @return true if the call may be retried at another target
     */
    public boolean retryable() {
        return retryable;
    }

    /**
     * Returns whether a refusal with outcome {@link Outcome#NOT_RUN} came from a target itself; with all other reasons
     * the call was refused before it reached a target.
     *
     * @return true if the call was sent to a target
     */
    public boolean fromTarget() {
        return this == TARGET_OVERLOADED || this == TARGET_REPLACED;
    }

    /**
     * Returns the name shown to callers and used in metric names.
     *
     * @return lower-case label
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
