package org.heatherhaven.core.logic.retry;

/**
 * One node's part of a service's retry budget.
 *
 * @param earnedPerCall retries that a first attempt earns
 * @param credit retries that may be saved up, and that a node starts with
 */
public record RetryLimits(double earnedPerCall, double credit) {

    /** Limits that suit a fleet of any size. */
    public static final RetryLimits DEFAULT = new RetryLimits(0.1, 5);
}
