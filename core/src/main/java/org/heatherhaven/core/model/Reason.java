package org.heatherhaven.core.model;

import java.util.Locale;

/**
 * Reason of a refusal, with its HTTP status. The label of each constant is shown to callers and names a metric; the
 * ordinal is sent to peers.
 */
public enum Reason {
    BAD_REQUEST(400, false),
    KEY_MISSING(401, false),
    KEY_UNKNOWN(403, false),
    CONTEXT_ENDED(403, false),
    NO_ROUTE(404, false),
    DUPLICATE(409, false),
    TOO_MANY_CALLS(429, false),
    TOO_LARGE(413, false),
    RATE(429, false),
    SHED_AT_ENTRY(503, false),
    SHED_AT_TARGET(503, true),
    QUEUE_FULL(503, true),
    TOO_LATE(504, false),
    NO_TARGET(503, true),
    DRAINING(503, true),
    QUOTA_UNAVAILABLE(503, false),
    LEDGER_UNAVAILABLE(503, false),
    LEDGER_FULL(503, false),
    POLICY_STALE(503, false),
    POLICY_UNKNOWN(503, false),
    NODE_OVERLOADED(503, false),
    REPEAT_LIMIT(503, false),
    TARGET_OVERLOADED(503, true),
    TARGET_REPLACED(503, true),
    TARGET_FAILED(502, true),
    LINK_LOST(502, true),
    TIMEOUT(504, false),
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
