package org.heatherhaven.core.model;

import java.time.Duration;

/**
 * A refusal, which states whether the request may have run.
 *
 * @param reason reason of the refusal
 * @param outcome whether the request has run, as far as is known
 * @param retryAfter delay after which the caller should retry; zero if it is not determined yet
 * @param detail one sentence that explains the refusal to a person
 */
public record Refusal(Reason reason, Outcome outcome, Duration retryAfter, String detail) {

    /**
     * Returns the refusal of a request that has certainly not run.
     *
     * @param reason reason of the refusal
     * @param detail one sentence that explains the refusal to a person
     * @return the refusal
     */
    public static Refusal notRun(Reason reason, String detail) {
        return new Refusal(reason, Outcome.NOT_RUN, Duration.ZERO, detail);
    }

    /**
     * Returns the refusal of a request that may have run.
     *
     * @param reason reason of the refusal
     * @param detail one sentence that explains the refusal to a person
     * @return the refusal
     */
    public static Refusal unknown(Reason reason, String detail) {
        return new Refusal(reason, Outcome.UNKNOWN, Duration.ZERO, detail);
    }

    /**
     * Returns a copy with another retry-after delay.
     *
     * @param delay delay after which the caller should retry
     * @return the changed refusal
     */
    public Refusal retryAfter(Duration delay) {
        return new Refusal(reason, outcome, delay, detail);
    }
}
