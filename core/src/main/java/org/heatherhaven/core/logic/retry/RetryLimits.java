package org.heatherhaven.core.logic.retry;

import java.time.Duration;

/**
 * Number of retries that the operators tolerate at each service, over the whole fleet.
 *
 * @param ratio retries per first attempt of a caller's call within the window
 * @param slack number of retries within the window in addition to the ratio
 * @param window length of the window
 */
public record RetryLimits(double ratio, double slack, Duration window) {

    /** Default limits, suitable for a service with a few targets. */
    public static final RetryLimits DEFAULT = new RetryLimits(0.1, 50, Duration.ofSeconds(10));
}
