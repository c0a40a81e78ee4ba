package org.heatherhaven.core.proof;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.heatherhaven.core.event.TrafficEvent.TargetResult;
import org.heatherhaven.core.fleet.Faults;
import org.heatherhaven.core.fleet.History;
import org.heatherhaven.core.fleet.Policies;
import org.heatherhaven.core.fleet.SmallFleet;
import org.heatherhaven.core.fleet.TestNode;
import org.heatherhaven.core.model.Outcome;

/**
 * Checks that a request that must run at most once does so, and that a refusal with outcome "not run" is correct, while
 * nodes pause, restart and lose messages.
 */
class AtMostOnceTest {

    private static final Duration RUN_DURATION = Duration.ofSeconds(45);

    @Property(tries = 50, seed = "20261204")
    void aKeyRunsAtMostOnceWhenItIsSubmittedRepeatedlyThroughAnyNode(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet = disturbedBookings(seed);
        Map<String, Long> runs = fleet.history().executions().stream()
                .filter(run -> run.submission().startsWith("key-"))
                .collect(Collectors.groupingBy(
                        run -> run.submission().substring(0, run.submission().indexOf('#')), Collectors.counting()));
        runs.forEach((key, count) -> {
            if (count > 1) {
                throw new AssertionError(key + " ran " + count + " times");
            }
        });
        if (runs.size() < 5) {
            throw new AssertionError("only " + runs.size() + " keys ran at all");
        }
    }

    @Property(tries = 50, seed = "20261205")
    void aRequestThatIsRefusedAsNotRunHasNotRun(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet = disturbedBookings(seed);
        Set<String> ran = fleet.history().executions().stream()
                .map(History.Execution::submission)
                .collect(Collectors.toSet());
        long refusedNotRun = 0;
        for (History.Refused refused : fleet.history().refusals()) {
            if (refused.refusal().outcome() == Outcome.NOT_RUN) {
                refusedNotRun++;
                if (ran.contains(refused.submission())) {
                    throw new AssertionError(refused + " but it ran");
                }
            }
        }
        if (refusedNotRun == 0) {
            throw new AssertionError("no refusal had the outcome not run, so that nothing was checked");
        }
    }

    private static SmallFleet disturbedBookings(long seed) {
        SmallFleet fleet = Fleets.started(seed, Faults.NONE, 5, Policies.first(500, 200, 1));
        fleet.run(Duration.ofSeconds(1));
        fleet.onRun("bookings", (node, key) -> {
            int choice = fleet.random().nextInt(10);
            TargetResult result =
                    choice == 0 ? TargetResult.FAILED : choice == 1 ? TargetResult.OVERLOADED : TargetResult.ANSWERED;
            Duration time = Duration.ofMillis(5 + fleet.random().nextInt(choice == 2 ? 3_000 : 60));
            fleet.after(time, () -> fleet.endRun(node, key, result));
        });
        Fleets.keepCalling(fleet, RUN_DURATION, 50);
        fleet.setFaults(Faults.HARSH);
        Fleets.injectFaults(fleet, RUN_DURATION.minusSeconds(5));
        for (int key = 0; key < 150; key++) {
            submitRepeatedly(fleet, key);
        }
        fleet.run(RUN_DURATION);
        return fleet;
    }

    /** Submits the same key several times through random nodes, like a caller that received no successful response. */
    private static void submitRepeatedly(SmallFleet fleet, int key) {
        int first = fleet.random().nextInt((int) RUN_DURATION.toMillis() - 10_000);
        int times = 1 + fleet.random().nextInt(4);
        for (int i = 0; i < times; i++) {
            String submission = "key-" + key + "#" + i;
            int at = first + i * (50 + fleet.random().nextInt(3_000));
            fleet.after(
                    Duration.ofMillis(at),
                    () -> Fleets.randomAliveNode(fleet)
                            .ifPresent(node -> fleet.call(
                                    node, submission, "/bookings/new", Policies.key(), Optional.of("key-" + key))));
        }
    }

    @Property(tries = 20, seed = "20261204")
    void aPlannedStopOfTheLedgersHolderLosesNoEntries(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet = Fleets.started(seed, Faults.NONE, 4, Policies.first(500, 200, 1));
        fleet.run(Duration.ofSeconds(1));
        for (int key = 0; key < 40; key++) {
            String name = "key-" + key;
            fleet.call(fleet.nodes().get(key % 4), name + "#0", "/bookings/new", Policies.key(), Optional.of(name));
            fleet.run(Duration.ofMillis(20));
        }
        fleet.run(Duration.ofSeconds(1));
        fleet.drain(fleet.nodes().get((int) (seed % 4)));
        fleet.run(Duration.ofSeconds(6));
        Map<String, Outcome> outcomes = new HashMap<>();
        for (int key = 0; key < 40; key++) {
            String name = "key-" + key;
            Fleets.randomAliveNode(fleet)
                    .ifPresent(
                            node -> fleet.call(node, name + "#1", "/bookings/new", Policies.key(), Optional.of(name)));
        }
        fleet.run(Duration.ofSeconds(3));
        fleet.history()
                .refusals()
                .forEach(refused ->
                        outcomes.put(refused.submission(), refused.refusal().outcome()));
        List<String> wrong = IntStream.range(0, 40)
                .mapToObj(key -> "key-" + key + "#1")
                .filter(submission -> outcomes.get(submission) != Outcome.RUN)
                .toList();
        if (!wrong.isEmpty()) {
            throw new AssertionError(
                    "not refused with outcome RUN: " + wrong + ", outcome " + outcomes.get(wrong.get(0)));
        }
    }

    @Property(tries = 20, seed = "20261204")
    void aNodeThatResumesAfterAPauseRunsNoCallsOfferedBeforeOrDuringIt(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet = Fleets.started(seed, Faults.NONE, 4, Policies.first(500, 200, 1));
        fleet.run(Duration.ofSeconds(1));
        TestNode paused = fleet.nodes().get((int) (seed % 4));
        fleet.pause(paused, Duration.ofSeconds(20));
        Instant from = fleet.now();
        for (int i = 0; i < 40; i++) {
            TestNode entry = fleet.nodes().get(i % 4);
            String name = "key-" + i;
            if (entry != paused) {
                fleet.call(entry, name + "#0", "/bookings/new", Policies.key(), Optional.of(name));
                fleet.call(entry, "quote-" + i, "/pricing/x", Policies.key(), Optional.empty());
            }
        }
        fleet.run(Duration.ofSeconds(25));
        boolean ranAfterPause = fleet.history().executions().stream()
                .anyMatch(run ->
                        run.node().equals(paused.id().value()) && run.at().isAfter(from));
        if (ranAfterPause) {
            throw new AssertionError("the resumed node ran calls that were offered up to 20 s before");
        }
    }
}
