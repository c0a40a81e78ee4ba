package org.heatherhaven.core.proof;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.heatherhaven.core.fleet.Faults;
import org.heatherhaven.core.fleet.History;
import org.heatherhaven.core.fleet.Policies;
import org.heatherhaven.core.fleet.SmallFleet;
import org.heatherhaven.core.fleet.TestNode;
import org.heatherhaven.core.model.Reason;

/** Checks that the admissions of a team on all nodes together stay within its rate and burst. */
class TeamRateTest {

    private static final double RATE = 50;
    private static final double BURST = 20;

    /** Highest clock rate in the test fleet, relative to true time. */
    private static final double DRIFT = 1.02;

    @Property(tries = 50, seed = "20261204")
    void admissionsStayWithinRateAndBurstInEveryWindow(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet = Fleets.started(seed, Faults.NONE, 4, Policies.first(RATE, BURST, 2));
        Fleets.keepCalling(fleet, Duration.ofSeconds(50), 4);
        fleet.run(Duration.ofSeconds(1));
        fleet.setFaults(Faults.HARSH);
        Fleets.injectFaults(fleet, Duration.ofSeconds(45));
        fleet.run(Duration.ofSeconds(50));
        double most = fleet.history().maxBucketLevel("banquets", RATE * DRIFT);
        if (most > BURST + 1e-6) {
            throw new AssertionError("a window held " + (most - BURST) + " admissions more than rate and burst");
        }
        if (fleet.history().admissions().size() < RATE) {
            throw new AssertionError("hardly anything was admitted: "
                    + fleet.history().admissions().size());
        }
    }

    @Property(tries = 20, seed = "20261204")
    void aTeamWithinItsRateIsNotRefusedWhenAllItsCallsEnterAtOneNode(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet = Fleets.started(seed, Faults.NONE, 4, Policies.first(RATE, BURST, 2));
        TestNode entry = fleet.nodes().get((int) (seed % 4));
        for (int i = 0; i < 450; i++) {
            String submission = "call-" + i;
            fleet.after(
                    Duration.ofMillis(i * 22L),
                    () -> fleet.call(entry, submission, "/pricing/x", Policies.key(), Optional.empty()));
        }
        fleet.run(Duration.ofSeconds(12));
        long refused = fleet.history().refusals().stream()
                .filter(refusal -> refusal.refusal().reason() == Reason.RATE
                        || refusal.refusal().reason() == Reason.QUOTA_UNAVAILABLE)
                .count();
        if (refused > 0) {
            throw new AssertionError(refused + " of 450 calls were refused at 90% of the rate");
        }
    }

    @Property(tries = 20, seed = "20261204")
    void aPlannedStopOfANodeCreatesNoExtraTokens(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet = Fleets.started(seed, Faults.NONE, 4, Policies.first(RATE, BURST, 1));
        Fleets.keepCalling(fleet, Duration.ofSeconds(12), 4);
        fleet.run(Duration.ofSeconds(3));
        fleet.drain(fleet.nodes().get((int) (seed % 4)));
        fleet.run(Duration.ofSeconds(12));
        double most = fleet.history().maxBucketLevel("banquets", RATE);
        if (most > BURST + 1e-6) {
            throw new AssertionError("a window held " + (most - BURST) + " admissions too many");
        }
    }

    @Property(tries = 20, seed = "20261204")
    void aLoweredRateIsEnforcedOnceItIsInForce(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet = Fleets.started(seed, Faults.NONE, 4, Policies.first(RATE, BURST, 2));
        Fleets.keepCalling(fleet, Duration.ofSeconds(20), 4);
        fleet.run(Duration.ofSeconds(3));
        fleet.patch(fleet.nodes().get(1), Policies.teamRate("lower", 1, RATE / 5, BURST / 5, 2));
        fleet.run(Duration.ofSeconds(5));
        Instant inForce = fleet.now();
        fleet.run(Duration.ofSeconds(10));
        List<History.Admission> after = fleet.history().admissions().stream()
                .filter(admission ->
                        admission.team().equals("banquets") && admission.at().isAfter(inForce))
                .toList();
        double most = History.maxBucketLevel(after, RATE / 5);
        if (most > BURST / 5 + 1e-6) {
            throw new AssertionError("a window held " + (most - BURST / 5) + " admissions too many");
        }
    }

    @Property(tries = 30, seed = "20261204")
    void aShareThatGetsANewOwnerGrantsNoSecondBurst(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        double burst = 150;
        SmallFleet fleet = Fleets.started(seed, Faults.NONE, 4, Policies.first(RATE / 10, burst, 1));
        Fleets.keepCalling(fleet, Duration.ofSeconds(40), 4);
        fleet.run(Duration.ofMillis(500));
        fleet.setFaults(new Faults(0.1, 0.2, Duration.ofMillis(2_500), 0, 0, Duration.ofMillis(10), 0));
        Fleets.injectFaults(fleet, Duration.ofSeconds(35));
        fleet.run(Duration.ofSeconds(40));
        double most = fleet.history().maxBucketLevel("banquets", RATE / 10);
        if (most > burst + 1e-6) {
            throw new AssertionError("a window held " + (most - burst) + " admissions too many");
        }
    }
}
