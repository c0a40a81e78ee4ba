package org.heatherhaven.core.logic.retry;

import java.time.Duration;
import java.time.Instant;

/**
 * One node's part of the retry budget of its service: the retries that it may still admit at its target.
 *
 * <p>When the targets of a service fail some of their calls, every entry node retries such calls, and only the nodes of
 * the service see all of these retries. So each node of the service admits its part of the retries that the operators
 * tolerate. The parts of all nodes add up to no more than the whole budget: a node starts with no tokens, saves at most
 * half of its part, and earns the other half over time and by first attempts of callers.
 *
 * <p>A retry also repeats the call tree below it. These calls can't be distinguished from other calls where they
 * arrive. So the node that admits the retry spends tokens for them, from the half of the budget that is reserved for
 * call trees.
 *
 * @param direct tokens for retries at the service itself, one token a retry
 * @param callTrees tokens for the calls that admitted retries make at other services, one token a call
 * @param at time when both were last refilled
 */
public record RetryBudget(TokenBucket direct, TokenBucket callTrees, Instant at) {

    /** Fraction of a service's budget for direct retries; the rest is reserved for call trees of retries elsewhere. */
    private static final double DIRECT_FRACTION = 0.5;

    /** Fraction of a part that may be saved; the same amount again is earned within a window. */
    private static final double SAVED_FRACTION = 0.5;

    /**
     * Tokens for one kind of retried calls.
     *
     * @param tokens number of calls that may be admitted
     * @param earned decayed sum of the tokens earned by first attempts in about one window, which may be saved in
     *     addition to the slack
     */
    public record TokenBucket(double tokens, double earned) {

        private static final TokenBucket EMPTY = new TokenBucket(0, 0);

        private TokenBucket refilled(double windows, double slack) {
            double remaining = earned * Math.exp(-windows);
            double filled = tokens + windows * slack;
            return new TokenBucket(Math.min(filled, slack + remaining), remaining);
        }

        private TokenBucket add(double amount) {
            return new TokenBucket(tokens + amount, earned + amount);
        }

        private TokenBucket spend(double cost) {
            return new TokenBucket(tokens - cost, earned);
        }
    }

    /**
     * Division of the budget of a service among its nodes and among the services that retry.
     *
     * @param nodes number of nodes of the service
     * @param services number of services in the policy, whose retries may call each other
     */
    public record Division(int nodes, int services) {

        /** Returns the fraction of a node's part that is saved, or earned within a window, for direct retries. */
        private double directFraction() {
            return DIRECT_FRACTION * SAVED_FRACTION;
        }

        /**
         * Returns the fraction for call trees, divided because retries at any other service may call the same service.
         */
        private double callTreeFraction() {
            return (1 - DIRECT_FRACTION) * SAVED_FRACTION / Math.max(1, services - 1);
        }
    }

    /**
     * Returns the budget of a node that has just started.
     *
     * @param now the current time
     * @return a budget without tokens
     */
    public static RetryBudget start(Instant now) {
        return new RetryBudget(TokenBucket.EMPTY, TokenBucket.EMPTY, now);
    }

    /**
     * Adds the tokens that were earned over time.
     *
     * @param limits retries that the operators tolerate at the service
     * @param division division of the budget among nodes and services
     * @param now the current time
     * @return the refilled budget
     */
    public RetryBudget refilled(RetryLimits limits, Division division, Instant now) {
        double windows = (double) Math.max(0, Duration.between(at, now).toNanos())
                / limits.window().toNanos();
        double slack = limits.slack() / Math.max(1, division.nodes());
        return new RetryBudget(
                direct.refilled(windows, slack * division.directFraction()),
                callTrees.refilled(windows, slack * division.callTreeFraction()),
                now);
    }

    /**
     * Adds the tokens earned by the first attempt of a caller's own call. Calls made by targets earn none.
     *
     * @param limits retries that the operators tolerate at the service
     * @param division division of the budget among nodes and services
     * @return the new budget
     */
    public RetryBudget callArrived(RetryLimits limits, Division division) {
        return new RetryBudget(
                direct.add(limits.ratio() * division.directFraction()),
                callTrees.add(limits.ratio() * division.callTreeFraction()),
                at);
    }

    /**
     * Returns whether a retry may be admitted.
     *
     * @param treeCalls expected number of calls in the call tree below it
     * @return true if there are enough tokens of both kinds
     */
    public boolean allows(double treeCalls) {
        return direct.tokens() >= 1 && callTrees.tokens() >= treeCalls;
    }

    /**
     * Spends the tokens of an admitted retry.
     *
     * @param treeCalls expected number of calls in the call tree below it
     * @return the new budget
     */
    public RetryBudget retryAdmitted(double treeCalls) {
        return new RetryBudget(direct.spend(1), callTrees.spend(treeCalls), at);
    }
}
