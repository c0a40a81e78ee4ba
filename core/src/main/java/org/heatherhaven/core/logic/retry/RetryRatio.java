package org.heatherhaven.core.logic.retry;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Limits the retries of this node to a part of its calls, service by service.
 *
 * @param credits retries that each service has earned
 */
public record RetryRatio(PMap<String, Double> credits) {

    /** The state of a node that has not called anything. */
    public static final RetryRatio START = new RetryRatio(HashTreePMap.empty());

    /**
     * Notes a first attempt.
     *
     * @param service service called
     * @param limits limits of this node
     * @return the new state
     */
    public RetryRatio called(String service, RetryLimits limits) {
        double credit = credits.getOrDefault(service, limits.credit());
        return new RetryRatio(credits.plus(service, Math.min(limits.credit(), credit + limits.earnedPerCall())));
    }

    /**
     * Tells whether a retry is earned.
     *
     * @param service service called
     * @param limits limits of this node
     * @return true if a retry may be sent
     */
    public boolean allows(String service, RetryLimits limits) {
        return credits.getOrDefault(service, limits.credit()) >= 1;
    }

    /**
     * Notes a retry.
     *
     * @param service service called
     * @param limits limits of this node
     * @return the new state
     */
    public RetryRatio retried(String service, RetryLimits limits) {
        return new RetryRatio(credits.plus(service, credits.getOrDefault(service, limits.credit()) - 1));
    }
}
