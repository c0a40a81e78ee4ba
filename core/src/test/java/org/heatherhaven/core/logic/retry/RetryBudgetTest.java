package org.heatherhaven.core.logic.retry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.heatherhaven.core.logic.retry.RetryBudget.Division;

/** Checks that the retries at a service stay within the tolerated limits for any number of nodes and failures. */
class RetryBudgetTest {

    private static final RetryLimits LIMITS = new RetryLimits(0.2, 50, Duration.ofSeconds(10));
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final int SERVICES = 4;
    private static final int SECONDS = 40;

    /** One node of the service, with the calls and retries that it admitted. */
    private static final class Node {
        private RetryBudget budget = RetryBudget.start(START);
        private final List<Instant> calls = new ArrayList<>();
        private final List<Instant> retries = new ArrayList<>();
        private double treeCalls;
    }

    /** Half of all arrivals are retries, which arrive at random nodes, and nodes restart with a new budget. */
    @Property(tries = 60, seed = "20261204")
    void retriesOfAllNodesStayWithinRatioAndSlack(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed,
            @ForAll @IntRange(min = 1, max = 300) int nodes,
            @ForAll @IntRange(min = 1, max = 400) int callsPerSecond,
            @ForAll @IntRange(min = 0, max = 12) int tree) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Node> all = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            all.add(new Node());
        }
        Division division = new Division(nodes, SERVICES);
        long calls = (long) callsPerSecond * SECONDS;
        for (long call = 0; call < calls; call++) {
            Instant now = START.plusMillis(call * 1_000 / callsPerSecond);
            Node node = all.get(random.nextInt(nodes));
            if (random.nextInt(500) == 0) {
                node.budget = RetryBudget.start(now);
            }
            offer(node, division, now, random.nextBoolean(), tree);
        }
        check(all, tree);
    }

    private static void offer(Node node, Division division, Instant now, boolean retry, int tree) {
        RetryBudget budget = node.budget.refilled(LIMITS, division, now);
        if (!retry) {
            node.calls.add(now);
            node.budget = budget.callArrived(LIMITS, division);
        } else if (budget.allows(tree)) {
            node.retries.add(now);
            node.treeCalls += tree;
            node.budget = budget.retryAdmitted(tree);
        } else {
            node.budget = budget;
        }
    }

    private static void check(List<Node> nodes, int tree) {
        for (int second = 0; second <= SECONDS; second++) {
            Instant end = START.plusSeconds(second);
            long retries = within(nodes, end, true);
            double limit = LIMITS.slack()
                    + LIMITS.ratio()
                            * Math.max(within(nodes, end, false), within(nodes, end.minus(LIMITS.window()), false));
            if (retries > limit) {
                throw new AssertionError(retries + " retries before second " + second + ", tolerated are " + limit);
            }
            // The calls of retries at another service must leave budget there for those of the other services.
            if (retries * tree * (SERVICES - 1) > limit) {
                throw new AssertionError("call trees of " + retries + " retries, each of " + tree + " calls");
            }
        }
    }

    private static long within(List<Node> nodes, Instant end, boolean retries) {
        Instant start = end.minus(LIMITS.window());
        return nodes.stream()
                .flatMap(node -> (retries ? node.retries : node.calls).stream())
                .filter(at -> !at.isBefore(start) && at.isBefore(end))
                .count();
    }

    @Example
    void aNodeAdmitsASingleRetryAfterAWindowWithoutFailures() {
        Division seven = new Division(7, SERVICES);
        RetryBudget idle = RetryBudget.start(START).refilled(LIMITS, seven, START.plusSeconds(10));
        if (!idle.allows(0)) {
            throw new AssertionError("one of seven nodes refused a retry after an idle window");
        }
    }

    @Example
    void aNodeThatHasJustStartedAdmitsNoRetry() {
        if (RetryBudget.start(START).allows(0)) {
            throw new AssertionError("a restart would create retries");
        }
    }
}
