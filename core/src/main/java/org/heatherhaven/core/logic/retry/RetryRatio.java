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

    private static final double EARNED_PER_CALL = 0.1;
    private static final double FIRST_CREDIT = 5;
    private static final double MAX_CREDIT = 50;

    /**
     * Notes a first attempt.
     *
     * @param service service called
     * @return the new state
     */
    public RetryRatio called(String service) {
        double credit = credits.getOrDefault(service, FIRST_CREDIT);
        return new RetryRatio(credits.plus(service, Math.min(MAX_CREDIT, credit + EARNED_PER_CALL)));
    }

    /**
     * Tells whether a retry is earned.
     *
     * @param service service called
     * @return true if a retry may be sent
     */
    public boolean allows(String service) {
        return credits.getOrDefault(service, FIRST_CREDIT) >= 1;
    }

    /**
     * Notes a retry.
     *
     * @param service service called
     * @return the new state
     */
    public RetryRatio retried(String service) {
        return new RetryRatio(credits.plus(service, credits.getOrDefault(service, FIRST_CREDIT) - 1));
    }
}
