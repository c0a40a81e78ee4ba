package org.heatherhaven.standin.load;

import java.time.Duration;

/**
 * Timeouts, retries and network delay of the simulated callers.
 *
 * @param attemptTimeout timeout of an attempt, sent to the node with the request
 * @param totalTimeout time from the intended start after which a response no longer counts as a success and no
 *     retry starts
 * @param retries retries of a request after its first attempt
 * @param retryDelay delay before a retry
 * @param networkDelay network delay from callers to nodes, one way
 */
public record CallerBehavior(
        Duration attemptTimeout, Duration totalTimeout, int retries, Duration retryDelay, Duration networkDelay) {

    /**
     * Returns the behavior of callers that retry a failed request twice after only 50 ms.
     *
     * @param networkDelay network delay from callers to nodes, one way
     * @return behavior of the callers
     */
    public static CallerBehavior withEagerRetries(Duration networkDelay) {
        return new CallerBehavior(
                Duration.ofMillis(1_000), Duration.ofMillis(1_500), 2, Duration.ofMillis(50), networkDelay);
    }
}
