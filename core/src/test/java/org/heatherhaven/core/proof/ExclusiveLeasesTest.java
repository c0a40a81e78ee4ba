package org.heatherhaven.core.proof;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.heatherhaven.core.fleet.Faults;
import org.heatherhaven.core.fleet.Policies;
import org.heatherhaven.core.fleet.SmallFleet;
import org.heatherhaven.core.fleet.TestNode;
import org.heatherhaven.core.logic.node.NodeRules;
import org.heatherhaven.core.model.LeaseId;

/** Checks that no two processes use the same lease at a time, and that a lease stays usable through failures. */
class ExclusiveLeasesTest {

    @Property(tries = 60, seed = "20261204")
    void noTwoNodesUseALeaseAtOnceWithPausesKillsMessageLossAndDelayedWrites(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet = Fleets.startedWithLeasedShares(seed, Faults.NONE, 4, Policies.first(200, 50, 2));
        Fleets.keepCalling(fleet, Duration.ofSeconds(60), 5);
        fleet.run(Duration.ofSeconds(2));
        fleet.setFaults(Faults.HARSH);
        List<String> conflicts = new ArrayList<>();
        fleet.afterEachEvent(now -> conflicts.addAll(usedByTwoNodes(now)));
        Fleets.injectFaults(fleet, Duration.ofSeconds(50));
        fleet.run(Duration.ofSeconds(60));
        if (!conflicts.isEmpty()) {
            throw new AssertionError("used by two nodes at once: " + conflicts.get(0));
        }
    }

    private static List<String> usedByTwoNodes(SmallFleet fleet) {
        Map<LeaseId, String> users = new HashMap<>();
        List<String> twice = new ArrayList<>();
        for (TestNode node : fleet.nodes()) {
            if (!node.alive()) {
                continue;
            }
            for (LeaseId lease : node.state().leases().leases().keySet()) {
                if (!node.state().leases().usable(lease, Fleets.clock(node, fleet))) {
                    continue;
                }
                String other = users.put(lease, node.id().value());
                if (other != null) {
                    twice.add(lease + " by " + other + " and " + node.id());
                }
            }
        }
        return twice;
    }

    @Property(tries = 20, seed = "20261204")
    void aLeaseIsUsableAgainWithinEightSecondsAfterItsHolderIsKilled(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet = Fleets.startedWithLeasedShares(seed, Faults.NONE, 4, Policies.first(200, 50, 1));
        LeaseId share = new LeaseId(LeaseId.Kind.SHARE, "banquets", 0);
        fleet.run(Duration.ofSeconds(2));
        TestNode holder = userOf(fleet, share).orElseThrow();
        fleet.kill(holder);
        fleet.run(Duration.ofSeconds(8));
        if (userOf(fleet, share).isEmpty()) {
            throw new AssertionError("no node can use " + share + " 8 s after " + holder.id() + " was killed");
        }
    }

    @Property(tries = 20, seed = "20261204")
    void leasesStayUsableDuringAPlatformOutageWhileHolderAndStandbyAreAlive(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet = Fleets.startedWithLeasedShares(seed, Faults.NONE, 4, Policies.first(200, 50, 1));
        LeaseId share = new LeaseId(LeaseId.Kind.SHARE, "banquets", 0);
        fleet.run(Duration.ofSeconds(2));
        fleet.setPlatformDown(true);
        long writes = fleet.platformWrites();
        for (int second = 0; second < 120; second++) {
            fleet.run(Duration.ofSeconds(1));
            if (userOf(fleet, share).isEmpty()) {
                throw new AssertionError("unusable after " + second + " s of outage");
            }
        }
        if (fleet.platformWrites() != writes) {
            throw new AssertionError("the platform was written without a failure");
        }
    }

    private static Optional<TestNode> userOf(SmallFleet fleet, LeaseId lease) {
        return fleet.nodes().stream()
                .filter(node -> node.alive() && node.state().leases().usable(lease, Fleets.clock(node, fleet)))
                .findFirst();
    }

    static NodeRules rules(long seed) {
        return NodeRules.defaults(seed);
    }
}
