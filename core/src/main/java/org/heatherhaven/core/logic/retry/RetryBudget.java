package org.heatherhaven.core.logic.retry;

import java.time.Duration;
import java.time.Instant;

/**
 * Repeats that the node of one target may still let in.
 *
 * <p>Answers a service whose targets fail a part of their calls: every entry node sends those calls again, and only the
 * nodes of the service see them all. So each of them admits its part of what the operators tolerate. The parts of all
 * nodes add up to no more than the whole: a node starts with none, saves up at most half of its part, and earns the
 * other half by time and by callers' own calls.
 *
 * <p>A repeat also starts its tree of calls again. These can't be told from others where they arrive, so the node that
 * admits the repeat pays for them, from the half of the budget that is set apart for trees.
 *
 * @param direct allowance for repeats at the service itself
 * @param callTrees allowance for the calls that repeats make elsewhere
 * @param at when both were last brought up to date
 */
public record RetryBudget(TokenBucket direct, TokenBucket callTrees, Instant at) {

    /** Part of a service's budget for repeats that are sent to it; the rest is for the trees of other repeats. */
    private static final double DIRECT_FRACTION = 0.5;

    /** Part that may be saved up; as much again is earned within a window. */
    private static final double SAVED_FRACTION = 0.5;

    /**
     * One allowance.
     *
     * @param tokens repeats that may be let in
     * @param earned earnings of about one window, which may be saved up beyond the slack
     */
    public record TokenBucket(double tokens, double earned) {

        private static final TokenBucket EMPTY = new TokenBucket(0, 0);

        private TokenBucket refilled(double windows, double slack) {
            double left = earned * Math.exp(-windows);
            double filled = tokens + windows * slack;
            return new TokenBucket(Math.min(filled, slack + left), left);
        }

        private TokenBucket add(double part) {
            return new TokenBucket(tokens + part, earned + part);
        }

        private TokenBucket spend(double cost) {
            return new TokenBucket(tokens - cost, earned);
        }
    }

    /**
     * Which part of the budget belongs to a node.
     *
     * @param nodes nodes of the service
     * @param services services of the policy, whose repeats may call each other
     */
    public record Division(int nodes, int services) {

        private double directFraction() {
            return DIRECT_FRACTION * SAVED_FRACTION;
        }

        /** Any other service's repeats may call the same one, and share what is set apart there. */
        private double callTreeFraction() {
            return (1 - DIRECT_FRACTION) * SAVED_FRACTION / Math.max(1, services - 1);
        }
    }

    /**
     * The allowance of a node that has just started.
     *
     * @param now the time
     * @return nothing yet
     */
    public static RetryBudget start(Instant now) {
        return new RetryBudget(TokenBucket.EMPTY, TokenBucket.EMPTY, now);
    }

    /**
     * Lets time pass.
     *
     * @param limits what the operators tolerate
     * @param division this node's part
     * @param now the time
     * @return the allowance at that time
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
     * Notes a caller's own call that arrives for the first time; calls of targets earn nothing.
     *
     * @param limits what the operators tolerate
     * @param division this node's part
     * @return the new allowance
     */
    public RetryBudget callArrived(RetryLimits limits, Division division) {
        return new RetryBudget(
                direct.add(limits.ratio() * division.directFraction()),
                callTrees.add(limits.ratio() * division.callTreeFraction()),
                at);
    }

    /**
     * Tells whether a repeat may be let in.
     *
     * @param tree calls that it will make
     * @return true if both allowances cover it
     */
    public boolean allows(double tree) {
        return direct.tokens() >= 1 && callTrees.tokens() >= tree;
    }

    /**
     * Notes a repeat that is let in.
     *
     * @param tree calls that it will make
     * @return the new allowance
     */
    public RetryBudget retryAdmitted(double tree) {
        return new RetryBudget(direct.spend(1), callTrees.spend(tree), at);
    }
}
