package org.heatherhaven.core.model;

import java.time.Duration;

/**
 * A refusal, truthful about what is known of the execution.
 *
 * @param reason why
 * @param outcome what is known of the execution
 * @param retryAfter when a new try makes sense, zero if nobody has said so yet
 * @param detail one sentence for a person
 */
public record Refusal(Reason reason, Outcome outcome, Duration retryAfter, String detail) {

    /**
     * A refusal of a request that is proven not to have run.
     *
     * @param reason why
     * @param detail one sentence for a person
     * @return the refusal
     */
    public static Refusal notRun(Reason reason, String detail) {
        return new Refusal(reason, Outcome.NOT_RUN, Duration.ZERO, detail);
    }

    /**
     * A refusal of a request that may have run.
     *
     * @param reason why
     * @param detail one sentence for a person
     * @return the refusal
     */
    public static Refusal unknown(Reason reason, String detail) {
        return new Refusal(reason, Outcome.UNKNOWN, Duration.ZERO, detail);
    }

    /**
     * Copies this refusal with a delay before the next try.
     *
     * @param delay the delay
     * @return the changed refusal
     */
    public Refusal retryAfter(Duration delay) {
        return new Refusal(reason, outcome, delay, detail);
    }
}
