package org.heatherhaven.core.logic.retry;

import java.time.Duration;

/**
 * How many repeated arrivals the operators tolerate at each service, over the whole fleet.
 *
 * @param ratio repeats for each call of a caller within the window
 * @param slack repeats beyond that within the window
 * @param window length of the window
 */
public record RetryLimits(double ratio, double slack, Duration window) {

    /** Limits that suit a service of a few targets. */
    public static final RetryLimits DEFAULT = new RetryLimits(0.1, 50, Duration.ofSeconds(10));
}
