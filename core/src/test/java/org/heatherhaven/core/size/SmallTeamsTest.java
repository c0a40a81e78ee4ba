package org.heatherhaven.core.size;

import java.time.Duration;
import java.util.Optional;
import java.util.stream.IntStream;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.heatherhaven.core.fleet.SmallFleet;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Team;

/**
 * Checks that a team with a small rate can use its rate and burst from the first call on, regardless of the number of
 * nodes at which its calls enter.
 */
class SmallTeamsTest {

    private static final long SEED = 20_261_204;
    private static final double SLACK = 10;
    private static final Team SMALL = new Team("small", 5, 5, 1);

    /** Maximum fraction of the teams' calls that may be refused while every team stays far below its rate. */
    private static final double MAX_REFUSED_FRACTION = 0.01;

    private static final Duration LOAD = Duration.ofSeconds(6);

    @Property
    void callsFarBelowTheRateAreNotRefused(@ForAll("sizes") int nodes) {
        checkRefusalsBelowTheRate(SEED, nodes);
    }

    @Provide
    Arbitrary<Integer> sizes() {
        return Arbitraries.of(12, 30, 95, 300);
    }

    /** Sends calls of every team at 40% of its rate, at random times and through random nodes. */
    private static void checkRefusalsBelowTheRate(long seed, int nodes) {
        SmallFleet fleet = SizedFleet.started(seed, nodes, 5, SMALL, SLACK);
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
        if (refused > MAX_REFUSED_FRACTION * all) {
            throw new AssertionError(refused + " of " + all + " calls were refused with " + nodes + " nodes");
        }
    }

    /**
     * A small team sends 100 calls per second through random nodes; at most its burst and the slack, then its rate, may
     * be admitted.
     */
    @Property
    void aTeamFarAboveItsRateGetsNoMoreThanItsRateBurstAndSlack(@ForAll("sizes") int nodes) {
        SmallFleet fleet = SizedFleet.started(SEED, nodes, 5, SMALL, SLACK);
        for (int number = 0; number < 600; number++) {
            int call = number;
            fleet.after(
                    Duration.ofMillis(10L * number),
                    () -> fleet.call(
                            fleet.nodes().get(fleet.random().nextInt(nodes)),
                            "flood-" + call,
                            "/pricing/x",
                            SizedFleet.key(0),
                            Optional.empty()));
        }
        fleet.run(LOAD.plusSeconds(1));
        double most = fleet.history().maxBucketLevel("team-0", SMALL.rate());
        if (most > SMALL.burst() + SLACK + 1e-6) {
            throw new AssertionError("a window held " + (most - SMALL.burst()) + " admissions beyond rate and burst");
        }
        if (fleet.history().admissions().size() < SMALL.rate() * LOAD.toSeconds() / 2) {
            throw new AssertionError("hardly any calls were admitted: "
                    + fleet.history().admissions().size());
        }
    }
}
