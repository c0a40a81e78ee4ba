package org.heatherhaven.standin.load;

import java.time.Duration;

/**
 * How callers behave.
 *
 * @param attemptTimeout how long they wait for an answer
 * @param totalTimeout time from the intended start after which an answer is of no use
 * @param retries how often they try again
 * @param retryDelay pause before they try again
 * @param networkDelay time from callers to nodes, one way
 */
public record CallerBehavior(
        Duration attemptTimeout, Duration totalTimeout, int retries, Duration retryDelay, Duration networkDelay) {

    /**
     * Callers that retry hard.
     *
     * @param networkDelay time from callers to nodes, one way
     * @return the plan
     */
    public static CallerBehavior withEagerRetries(Duration delay) {
        return new CallerBehavior(Duration.ofMillis(1_000), Duration.ofMillis(1_500), 2, Duration.ofMillis(50), delay);
    }
}
