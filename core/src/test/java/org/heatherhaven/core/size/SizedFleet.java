package org.heatherhaven.core.size;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.heatherhaven.core.fleet.Faults;
import org.heatherhaven.core.fleet.Policies;
import org.heatherhaven.core.fleet.SmallFleet;
import org.heatherhaven.core.logic.node.NodeRules;
import org.heatherhaven.core.logic.node.QuotaMode;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.KeyGrant;
import org.heatherhaven.core.model.PolicyPatch;
import org.heatherhaven.core.model.Team;

/** Starts fleets of any size in several zones, with many small teams; all nodes start at the same time. */
final class SizedFleet {

    static final int TEAMS = 90;

    private SizedFleet() {}

    static SmallFleet started(long seed, int nodes, int zones, Team like, double slack) {
        return started(new SmallFleet(seed, Faults.NONE), seed, nodes, zones, like, slack);
    }

    static SmallFleet started(SmallFleet fleet, long seed, int nodes, int zones, Team like, double slack) {
        for (int i = 0; i < nodes; i++) {
            fleet.start(
                    "10.0." + i / 250 + "." + i % 250 + ":7000",
                    "zone-" + i % zones,
                    i % 2 == 0 ? "bookings" : "pricing",
                    NodeRules.defaults(seed + i).withQuota(QuotaMode.PLACED, slack));
        }
        fleet.run(Duration.ofSeconds(2));
        fleet.patch(fleet.nodes().get(0), policy(like));
        fleet.run(Duration.ofSeconds(8));
        return fleet;
    }

    static Optional<String> key(int team) {
        return Optional.of(String.format("%064x", team));
    }

    private static PolicyPatch policy(Team like) {
        List<Team> teams = new ArrayList<>();
        List<KeyGrant> keys = new ArrayList<>();
        IntStream.range(0, TEAMS).forEach(i -> {
            teams.add(new Team("team-" + i, like.rate(), like.burst(), 1));
            keys.add(new KeyGrant(key(i).orElseThrow(), "team-" + i));
        });
        return new PolicyPatch(
                "first",
                0,
                "test",
                "",
                teams,
                List.of(Policies.route("quote", "/pricing", "pricing", Importance.HIGH, false, false)),
                keys,
                List.of(),
                List.of(),
                List.of());
    }
}
