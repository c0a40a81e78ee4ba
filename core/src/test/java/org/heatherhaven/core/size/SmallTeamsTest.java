package org.heatherhaven.core.size;

import java.time.Duration;
import java.util.Optional;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.heatherhaven.core.fleet.SmallFleet;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Team;

/** A small team's rate and burst are usable from its first call on, however many nodes its calls enter at. */
class SmallTeamsTest {

    private static final Team SMALL = new Team("small", 5, 5, 1);

    /** Part of the teams' calls that may be refused though the team stays far below its rate. */
    private static final double TOLERATED = 0.01;

    private static final Duration LOAD = Duration.ofSeconds(6);

    @Property(tries = 2, seed = "20261204")
    void callsFarBelowTheRateAreNotRefusedWith12Nodes(@ForAll @LongRange(min = 0, max = 1_000) long seed) {
        refusedBelowTheRate(seed, 12);
    }

    @Property(tries = 2, seed = "20261204")
    void callsFarBelowTheRateAreNotRefusedWith30Nodes(@ForAll @LongRange(min = 0, max = 1_000) long seed) {
        refusedBelowTheRate(seed, 30);
    }

    @Property(tries = 1, seed = "20261204")
    void callsFarBelowTheRateAreNotRefusedWith95Nodes(@ForAll @LongRange(min = 0, max = 1_000) long seed) {
        refusedBelowTheRate(seed, 95);
    }

    @Property(tries = 1, seed = "20261204")
    void callsFarBelowTheRateAreNotRefusedWith300Nodes(@ForAll @LongRange(min = 0, max = 1_000) long seed) {
        refusedBelowTheRate(seed, 300);
    }

    /** Every team calls at 40% of its rate, at random moments, each call through a node at random. */
    private static void refusedBelowTheRate(long seed, int nodes) {
        SmallFleet fleet = SizedFleet.started(seed, nodes, 5, SMALL, 10);
        int calls = (int) (0.4 * SMALL.rate() * LOAD.toSeconds());
        IntStream.range(0, SizedFleet.TEAMS)
                .forEach(team -> IntStream.range(0, calls)
                        .forEach(number -> fleet.after(
                                Duration.ofMillis(fleet.random().nextInt((int) LOAD.toMillis())),
                                () -> fleet.call(
                                        fleet.nodes().get(fleet.random().nextInt(nodes)),
                                        team + "-" + number,
                                        "/pricing/x",
                                        SizedFleet.key(team),
                                        Optional.empty()))));
        fleet.run(LOAD.plusSeconds(1));
        long refused = fleet.history().refusals().stream()
                .filter(refusal -> refusal.refusal().reason() == Reason.RATE
                        || refusal.refusal().reason() == Reason.QUOTA_UNAVAILABLE)
                .count();
        int all = calls * SizedFleet.TEAMS;
        if (refused > TOLERATED * all) {
            throw new AssertionError(refused + " of " + all + " calls were refused with " + nodes + " nodes");
        }
    }
}
