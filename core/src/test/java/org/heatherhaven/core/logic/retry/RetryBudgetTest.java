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

/** Repeats at a service stay within what the operators tolerate, however many nodes it has and whoever fails. */
class RetryBudgetTest {

    private static final RetryLimits LIMITS = new RetryLimits(0.2, 50, Duration.ofSeconds(10));
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final int SERVICES = 4;
    private static final int SECONDS = 40;

    /** One node of the service, as it sees its own calls. */
    private static final class Node {
        private RetryBudget budget = RetryBudget.start(START);
        private final List<Instant> calls = new ArrayList<>();
        private final List<Instant> retries = new ArrayList<>();
        private double treeCalls;
    }

    /** Targets turn half of their calls away, nodes join, leave and restart, and some know few of the others. */
    @Property(tries = 60, seed = "20261204")
    void repeatsOfAllNodesStayWithinRatioAndSlack(
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

    private static void offer(Node node, Division division, Instant now, boolean repeat, int tree) {
        RetryBudget allowance = node.budget.refilled(LIMITS, division, now);
        if (!repeat) {
            node.calls.add(now);
            node.budget = allowance.callArrived(LIMITS, division);
        } else if (allowance.allows(tree)) {
            node.retries.add(now);
            node.treeCalls += tree;
            node.budget = allowance.retryAdmitted(tree);
        } else {
            node.budget = allowance;
        }
    }

    private static void check(List<Node> nodes, int tree) {
        for (int second = 0; second <= SECONDS; second++) {
            Instant end = START.plusSeconds(second);
            long repeats = within(nodes, end, true);
            double most = LIMITS.slack()
                    + LIMITS.ratio()
                            * Math.max(within(nodes, end, false), within(nodes, end.minus(LIMITS.window()), false));
            if (repeats > most) {
                throw new AssertionError(repeats + " repeats before second " + second + ", tolerated are " + most);
            }
            // What repeats call elsewhere must leave room there for those of the other services.
            if (repeats * tree * (SERVICES - 1) > most) {
                throw new AssertionError("trees of " + repeats + " repeats, each of " + tree + " calls");
            }
        }
    }

    private static long within(List<Node> nodes, Instant end, boolean repeats) {
        Instant start = end.minus(LIMITS.window());
        return nodes.stream()
                .flatMap(node -> (repeats ? node.retries : node.calls).stream())
                .filter(at -> !at.isBefore(start) && at.isBefore(end))
                .count();
    }

    @Example
    void aServiceWithoutTroubleMayRepeatTheOddCallAtOnceAfterAWhile() {
        Division seven = new Division(7, SERVICES);
        RetryBudget rested = RetryBudget.start(START).refilled(LIMITS, seven, START.plusSeconds(10));
        if (!rested.allows(0)) {
            throw new AssertionError("a node of seven that rested for a window may not let one repeat in");
        }
    }

    @Example
    void aProcessThatHasJustStartedLetsNoRepeatIn() {
        if (RetryBudget.start(START).allows(0)) {
            throw new AssertionError("a restart would mint repeats");
        }
    }
}
