package org.heatherhaven.standin.load;

import java.time.Duration;

/**
 * How callers behave.
 *
 * @param attemptLimit how long they wait for an answer
 * @param patience time from the intended start after which an answer is of no use
 * @param retries how often they try again
 * @param retryPause pause before they try again
 * @param delay time from callers to nodes, one way
 */
public record CallerPlan(Duration attemptLimit, Duration patience, int retries, Duration retryPause, Duration delay) {

    /**
     * Callers that retry hard.
     *
     * @param delay time from callers to nodes, one way
     * @return the plan
     */
    public static CallerPlan impatient(Duration delay) {
        return new CallerPlan(Duration.ofMillis(1_000), Duration.ofMillis(1_500), 2, Duration.ofMillis(50), delay);
    }
}
