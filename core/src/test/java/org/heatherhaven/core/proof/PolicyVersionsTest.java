package org.heatherhaven.core.proof;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.heatherhaven.core.effect.Effect.PatchVerdict;
import org.heatherhaven.core.fleet.Faults;
import org.heatherhaven.core.fleet.Policies;
import org.heatherhaven.core.fleet.SmallFleet;
import org.heatherhaven.core.fleet.TestNode;
import org.heatherhaven.core.model.Reason;

/**
 * Checks that an accepted patch becomes one complete policy version, is in force on all nodes within seconds, and that
 * no node reverts to an older version.
 */
class PolicyVersionsTest {

    /** Time until a version must be in force on all nodes. */
    private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(5);

    @Property(tries = 60, seed = "20261204")
    void concurrentOperatorsGetCorrectVerdictsAndVersionsOnlyIncrease(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet = Fleets.started(seed, Faults.NONE, 4, Policies.first(200, 50, 1));
        fleet.setFaults(Faults.HARSH);
        Map<String, Long> highest = new HashMap<>();
        Set<String> reverted = new HashSet<>();
        fleet.afterEachEvent(now -> now.nodes().forEach(node -> {
            String process = node.id() + "/" + node.state().fleet().self().epoch();
            long version = node.state().policy().policy().version();
            Long before = highest.put(process, version);
            if (before != null && before > version) {
                reverted.add(process);
            }
        }));
        int[] number = {0};
        for (int i = 0; i < 40; i++) {
            fleet.after(Duration.ofMillis(i * 500L), () -> patchConcurrently(fleet, number));
        }
        Fleets.injectFaults(fleet, Duration.ofSeconds(20));
        fleet.run(Duration.ofSeconds(40));
        if (!reverted.isEmpty()) {
            throw new AssertionError("reverted to an older version: " + reverted);
        }
        checkAnswers(fleet);
    }

    /** Submits two patches of the same version at the same time, through random nodes. */
    private static void patchConcurrently(SmallFleet fleet, int[] number) {
        for (int operator = 0; operator < 2; operator++) {
            number[0]++;
            String id = "patch-" + number[0];
            Fleets.randomAliveNode(fleet)
                    .ifPresent(node -> fleet.patch(
                            node,
                            Policies.teamRate(id, node.state().policy().policy().version(), 100 + number[0], 60, 1)));
        }
    }

    private static void checkAnswers(SmallFleet fleet) {
        Set<String> committed = fleet.committedPatches();
        int accepted = 0;
        for (var answers : fleet.patchAnswers().values()) {
            for (var answer : answers) {
                boolean inForce = committed.contains(answer.patchId());
                if (answer.verdict() == PatchVerdict.ACCEPTED && !inForce) {
                    throw new AssertionError(answer + " did not become a version");
                }
                if (answer.verdict() == PatchVerdict.REJECTED && inForce) {
                    throw new AssertionError(answer + " became a version");
                }
                accepted += answer.verdict() == PatchVerdict.ACCEPTED ? 1 : 0;
            }
        }
        if (accepted == 0) {
            throw new AssertionError("no patch was accepted, so that nothing was checked");
        }
    }

    @Property(tries = 40, seed = "20261204")
    void anAcceptedPatchIsInForceOnAllNodesWithinSecondsDespiteMessageLoss(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet = Fleets.started(seed, Faults.NONE, 12, Policies.first(200, 50, 1));
        fleet.setFaults(new Faults(0.2, 0.1, Duration.ofMillis(300), 0, 0, Duration.ofMillis(10), 0));
        fleet.patch(fleet.nodes().get((int) (seed % 12)), Policies.teamRate("next", 1, 300, 60, 1));
        fleet.run(IN_FORCE_LIMIT);
        List<String> behind = fleet.nodes().stream()
                .filter(node -> node.state().policy().policy().version() < 2)
                .map(node -> node.id().value())
                .toList();
        if (!behind.isEmpty()) {
            throw new AssertionError("still on the old version: " + behind);
        }
    }

    @Property(tries = 40, seed = "20261204")
    void aRevokedKeyIsRefusedOnAllNodesWithinSecondsIncludingAnIsolatedOne(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet = Fleets.started(seed, Faults.NONE, 5, Policies.first(1_000, 500, 1));
        TestNode isolated = fleet.nodes().get((int) (seed % 5));
        TestNode operator = fleet.nodes().get((int) ((seed + 1) % 5));
        Fleets.keepCalling(fleet, Duration.ofSeconds(20), 3);
        fleet.run(Duration.ofSeconds(1));
        fleet.isolate(isolated, Duration.ofSeconds(30));
        fleet.patch(operator, Policies.withdraw("withdraw", 1, Policies.KEY));
        fleet.run(IN_FORCE_LIMIT.plusMillis(500));
        int before = fleet.history().admissions().size();
        int answeredBefore = fleet.history().executions().size();
        fleet.run(Duration.ofSeconds(10));
        if (fleet.history().admissions().size() != before
                || fleet.history().executions().size() != answeredBefore) {
            throw new AssertionError(
                    (fleet.history().admissions().size() - before) + " calls were admitted with the revoked key");
        }
        if (before == 0) {
            throw new AssertionError(
                    "no call was admitted with the key before it was revoked, so that nothing was checked");
        }
    }

    @Example
    void anIsolatedNodeRefusesKeysBecauseItsPolicyMayBeStale() {
        SmallFleet fleet = Fleets.started(1, Faults.NONE, 5, Policies.first(1_000, 500, 1));
        TestNode isolated = fleet.nodes().get(2);
        fleet.isolate(isolated, Duration.ofSeconds(30));
        fleet.run(IN_FORCE_LIMIT);
        fleet.call(isolated, "call", "/pricing/x", Policies.key(), Optional.empty());
        fleet.run(Duration.ofMillis(100));
        Reason reason = fleet.history().refusals().get(0).refusal().reason();
        if (reason != Reason.POLICY_STALE) {
            throw new AssertionError("refused for " + reason);
        }
    }
}
