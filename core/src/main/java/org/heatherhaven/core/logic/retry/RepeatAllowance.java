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
 * @param trees allowance for the calls that repeats make elsewhere
 * @param at when both were last brought up to date
 */
public record RepeatAllowance(Account direct, Account trees, Instant at) {

    /** Part of a service's budget for repeats that are sent to it; the rest is for the trees of other repeats. */
    private static final double DIRECT_PART = 0.5;

    /** Part that may be saved up; as much again is earned within a window. */
    private static final double SAVED_PART = 0.5;

    /**
     * One allowance.
     *
     * @param tokens repeats that may be let in
     * @param earned earnings of about one window, which may be saved up beyond the slack
     */
    public record Account(double tokens, double earned) {

        private static final Account EMPTY = new Account(0, 0);

        private Account passed(double windows, double slack) {
            double left = earned * Math.exp(-windows);
            double filled = tokens + windows * slack;
            return new Account(Math.min(filled, slack + left), left);
        }

        private Account earn(double part) {
            return new Account(tokens + part, earned + part);
        }

        private Account pay(double cost) {
            return new Account(tokens - cost, earned);
        }
    }

    /**
     * Which part of the budget belongs to a node.
     *
     * @param nodes nodes of the service
     * @param services services of the policy, whose repeats may call each other
     */
    public record Division(int nodes, int services) {

        private double direct() {
            return DIRECT_PART * SAVED_PART;
        }

        /** Any other service's repeats may call the same one, and share what is set apart there. */
        private double trees() {
            return (1 - DIRECT_PART) * SAVED_PART / Math.max(1, services - 1);
        }
    }

    /**
     * The allowance of a node that has just started.
     *
     * @param now the time
     * @return nothing yet
     */
    public static RepeatAllowance start(Instant now) {
        return new RepeatAllowance(Account.EMPTY, Account.EMPTY, now);
    }

    /**
     * Lets time pass.
     *
     * @param limits what the operators tolerate
     * @param division this node's part
     * @param now the time
     * @return the allowance at that time
     */
    public RepeatAllowance passed(RetryLimits limits, Division division, Instant now) {
        double windows = (double) Math.max(0, Duration.between(at, now).toNanos())
                / limits.window().toNanos();
        double slack = limits.slack() / Math.max(1, division.nodes());
        return new RepeatAllowance(
                direct.passed(windows, slack * division.direct()),
                trees.passed(windows, slack * division.trees()),
                now);
    }

    /**
     * Notes a caller's own call that arrives for the first time; calls of targets earn nothing.
     *
     * @param limits what the operators tolerate
     * @param division this node's part
     * @return the new allowance
     */
    public RepeatAllowance called(RetryLimits limits, Division division) {
        return new RepeatAllowance(
                direct.earn(limits.ratio() * division.direct()), trees.earn(limits.ratio() * division.trees()), at);
    }

    /**
     * Tells whether a repeat may be let in.
     *
     * @param tree calls that it will make
     * @return true if both allowances cover it
     */
    public boolean allows(double tree) {
        return direct.tokens() >= 1 && trees.tokens() >= tree;
    }

    /**
     * Notes a repeat that is let in.
     *
     * @param tree calls that it will make
     * @return the new allowance
     */
    public RepeatAllowance repeated(double tree) {
        return new RepeatAllowance(direct.pay(1), trees.pay(tree), at);
    }
}
