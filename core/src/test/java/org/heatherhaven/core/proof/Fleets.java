package org.heatherhaven.core.proof;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.fleet.Faults;
import org.heatherhaven.core.fleet.Policies;
import org.heatherhaven.core.fleet.SmallFleet;
import org.heatherhaven.core.fleet.TestNode;
import org.heatherhaven.core.logic.idempotency.IdempotencyLogic.LedgerLimits;
import org.heatherhaven.core.logic.node.NodeRules;
import org.heatherhaven.core.logic.node.QuotaMode;
import org.heatherhaven.core.model.PolicyPatch;

/** Creates fleets and injects faults for the tests of this package. */
final class Fleets {

    private static final List<String> SERVICES = List.of("bookings", "pricing");

    /**
     * The resubmission window is short enough that a lost ledger becomes usable again within a run; the tests' callers
     * resubmit a key within it.
     */
    private static final LedgerLimits LEDGER = new LedgerLimits(Duration.ofSeconds(10), 1_000);

    private Fleets() {}

    static SmallFleet started(long seed, Faults faults, int nodes, PolicyPatch policy) {
        return started(new SmallFleet(seed, faults), seed, nodes, policy);
    }

    /** Starts a fleet in which the shares of rates are assigned by leases. */
    static SmallFleet startedWithLeasedShares(long seed, Faults faults, int nodes, PolicyPatch policy) {
        SmallFleet fleet = new SmallFleet(seed, faults);
        fleet.setQuotaMode(QuotaMode.LEASED);
        return started(fleet, seed, nodes, policy);
    }

    private static SmallFleet started(SmallFleet fleet, long seed, int nodes, PolicyPatch policy) {
        for (int i = 0; i < nodes; i++) {
            start(fleet, i, seed);
        }
        fleet.run(Duration.ofSeconds(2));
        fleet.patch(fleet.nodes().get(0), policy);
        fleet.run(Duration.ofSeconds(4));
        return fleet;
    }

    static TestNode start(SmallFleet fleet, int index, long seed) {
        return fleet.start(
                "10.0.0." + index + ":7000",
                "zone-" + index % 3,
                SERVICES.get(index % SERVICES.size()),
                NodeRules.defaults(seed + index).withLedger(LEDGER).withQuota(fleet.quotaMode(), 0));
    }

    static Instant clock(TestNode node, SmallFleet fleet) {
        return node.clockAt(fleet.now());
    }

    /** Sends calls of one team to random nodes for a time. */
    static void keepCalling(SmallFleet fleet, Duration time, int everyMillis) {
        Instant end = fleet.now().plus(time);
        int[] number = {0};
        Runnable[] next = new Runnable[1];
        next[0] = () -> {
            if (fleet.now().isAfter(end)) {
                return;
            }
            randomAliveNode(fleet).ifPresent(node -> {
                number[0]++;
                fleet.call(node, "call-" + number[0], "/pricing/x", Policies.key(), Optional.empty());
            });
            fleet.after(Duration.ofMillis(1 + fleet.random().nextInt(2 * everyMillis)), next[0]);
        };
        fleet.after(Duration.ZERO, next[0]);
    }

    static Optional<TestNode> randomAliveNode(SmallFleet fleet) {
        List<TestNode> alive = fleet.nodes().stream().filter(TestNode::alive).toList();
        return alive.isEmpty()
                ? Optional.empty()
                : Optional.of(alive.get(fleet.random().nextInt(alive.size())));
    }

    /**
     * Pauses, kills and restarts random nodes, closes their connections, and makes the platform unavailable at times,
     * until the given time has passed.
     */
    static void injectFaults(SmallFleet fleet, Duration time) {
        Instant end = fleet.now().plus(time);
        Runnable[] next = new Runnable[1];
        next[0] = () -> {
            if (fleet.now().isAfter(end)) {
                fleet.setPlatformDown(false);
                return;
            }
            injectFault(fleet);
            fleet.after(Duration.ofMillis(500 + fleet.random().nextInt(4_000)), next[0]);
        };
        fleet.after(Duration.ofMillis(500), next[0]);
    }

    private static void injectFault(SmallFleet fleet) {
        Optional<TestNode> victim = randomAliveNode(fleet);
        int kind = fleet.random().nextInt(10);
        if (victim.isEmpty() || kind < 2) {
            fleet.setPlatformDown(kind == 0);
        } else if (kind < 6) {
            fleet.pause(victim.get(), Duration.ofMillis(500 + fleet.random().nextInt(9_000)));
        } else if (kind < 8) {
            fleet.cutLinksTo(victim.get());
        } else {
            killAndRestart(fleet, victim.get());
        }
    }

    private static void killAndRestart(SmallFleet fleet, TestNode victim) {
        String address = victim.id().value();
        int index = Integer.parseInt(address.substring(address.lastIndexOf('.') + 1, address.indexOf(':')));
        fleet.kill(victim);
        fleet.after(
                Duration.ofMillis(200 + fleet.random().nextInt(6_000)),
                () -> start(fleet, index, fleet.random().nextLong(1_000_000)));
    }
}
