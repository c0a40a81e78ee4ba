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

/** An unrepeatable request runs at most once, and "not run" is true whenever it is said. */
class AtMostOnceTest {

    private static final Duration RUN = Duration.ofSeconds(45);

    @Property(tries = 50, seed = "20261204")
    void aKeyRunsAtMostOnceHoweverOftenItIsSentThroughWhicheverNode(
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
    void aRefusalThatSaysNotRunIsTrue(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
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
            throw new AssertionError("no refusal said not run, so that nothing was checked");
        }
    }

    private static SmallFleet disturbedBookings(long seed) {
        SmallFleet fleet = Fleets.started(seed, Faults.NONE, 5, Policies.first(500, 200, 1));
        fleet.run(Duration.ofSeconds(1));
        fleet.onRun("bookings", (node, key) -> {
            int luck = fleet.random().nextInt(10);
            TargetResult result =
                    luck == 0 ? TargetResult.FAILED : luck == 1 ? TargetResult.OVERLOADED : TargetResult.ANSWERED;
            Duration time = Duration.ofMillis(5 + fleet.random().nextInt(luck == 2 ? 3_000 : 60));
            fleet.after(time, () -> fleet.endRun(node, key, result));
        });
        Fleets.keepCalling(fleet, RUN, 50);
        fleet.setFaults(Faults.HARSH);
        Fleets.injectFaults(fleet, RUN.minusSeconds(5));
        for (int key = 0; key < 150; key++) {
            submitAgainAndAgain(fleet, key);
        }
        fleet.run(RUN);
        return fleet;
    }

    /** A caller that gets no good answer sends the same key again, through any node. */
    private static void submitAgainAndAgain(SmallFleet fleet, int key) {
        int first = fleet.random().nextInt((int) RUN.toMillis() - 10_000);
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
    void aPlannedStopOfTheLedgersHolderForgetsNothing(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
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
        Map<String, Outcome> told = new HashMap<>();
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
                        told.put(refused.submission(), refused.refusal().outcome()));
        List<String> wrong = IntStream.range(0, 40)
                .mapToObj(key -> "key-" + key + "#1")
                .filter(submission -> told.get(submission) != Outcome.RUN)
                .toList();
        if (!wrong.isEmpty()) {
            throw new AssertionError("not told that it ran: " + wrong + ", told " + told.get(wrong.get(0)));
        }
    }

    @Property(tries = 20, seed = "20261204")
    void aThawedNodeRunsNothingThatWasOfferedBeforeOrWhileItWasFrozen(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet = Fleets.started(seed, Faults.NONE, 4, Policies.first(500, 200, 1));
        fleet.run(Duration.ofSeconds(1));
        TestNode frozen = fleet.nodes().get((int) (seed % 4));
        fleet.pause(frozen, Duration.ofSeconds(20));
        Instant from = fleet.now();
        for (int i = 0; i < 40; i++) {
            TestNode entry = fleet.nodes().get(i % 4);
            String name = "key-" + i;
            if (entry != frozen) {
                fleet.call(entry, name + "#0", "/bookings/new", Policies.key(), Optional.of(name));
                fleet.call(entry, "quote-" + i, "/pricing/x", Policies.key(), Optional.empty());
            }
        }
        fleet.run(Duration.ofSeconds(25));
        boolean ranLate = fleet.history().executions().stream()
                .anyMatch(run ->
                        run.node().equals(frozen.id().value()) && run.at().isAfter(from));
        if (ranLate) {
            throw new AssertionError("it ran what was offered up to 20 s before");
        }
    }
}
