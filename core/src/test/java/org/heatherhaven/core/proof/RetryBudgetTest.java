package org.heatherhaven.core.proof;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.lifecycle.AfterProperty;
import org.heatherhaven.core.event.TrafficEvent.TargetResult;
import org.heatherhaven.core.fleet.Faults;
import org.heatherhaven.core.fleet.Policies;
import org.heatherhaven.core.fleet.SmallFleet;

/** Checks that the retries for one root request are bounded by its budget, for any depth and width of its call tree. */
class RetryBudgetTest {

    private static final int BUDGET = 3;

    private static int triesWithRetries;

    @Property(tries = 60, seed = "20261204")
    void executionsDoNotExceedTheNumberOfCallsPlusTheRetryBudget(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed,
            @ForAll @IntRange(min = 1, max = 4) int depth,
            @ForAll @IntRange(min = 1, max = 8) int width) {
        SmallFleet fleet = Fleets.started(seed, Faults.NONE, 12, Policies.first(500, 200, 1));
        Map<String, Integer> nestedCalls = new HashMap<>();
        fleet.onRun("pricing", (node, key) -> {
            var running = node.state().admission().running().get(key);
            String root = running.call().head().rootId();
            // Several nested calls at the root and a chain below each keep the tree small, while many calls share one
            // budget.
            int children = running.call().head().depth() == 0 ? width : 1;
            if (running.call().head().depth() < depth) {
                for (int i = 0; i < children; i++) {
                    nestedCalls.merge(root, 1, Integer::sum);
                    fleet.callFromTarget(node, running.context(), "nested", "/pricing/deeper");
                }
            }
            TargetResult result =
                    running.call().head().depth() == 0 || fleet.random().nextInt(3) == 0
                            ? TargetResult.ANSWERED
                            : TargetResult.OVERLOADED;
            fleet.after(
                    Duration.ofMillis(running.call().head().depth() == 0 ? 900 : 60),
                    () -> fleet.endRun(node, key, result));
        });
        for (int i = 0; i < 8; i++) {
            String name = "root-" + i;
            fleet.call(fleet.nodes().get(i % 12), name, "/pricing/x", Policies.key(), Optional.empty());
            fleet.run(Duration.ofMillis(40));
        }
        fleet.run(Duration.ofSeconds(6));
        Map<String, Integer> executed = new HashMap<>();
        fleet.history().executions().forEach(run -> executed.merge(run.rootId(), 1, Integer::sum));
        executed.forEach((root, count) -> {
            int calls = 1 + nestedCalls.getOrDefault(root, 0);
            if (count > calls + BUDGET) {
                throw new AssertionError(root + " ran " + count + " times for " + calls + " calls");
            }
        });
        triesWithRetries += fleet.history().retries() > 0 ? 1 : 0;
    }

    /** Checks that most tries had a retry; a try in which all calls succeeded checks nothing. */
    @AfterProperty
    void mostTriesHadRetries() {
        if (triesWithRetries < 30) {
            throw new AssertionError("only " + triesWithRetries + " of 60 tries had a retry");
        }
    }
}
