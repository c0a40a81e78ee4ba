package org.heatherhaven.core.proof;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.heatherhaven.core.event.TrafficEvent.TargetResult;
import org.heatherhaven.core.fleet.Faults;
import org.heatherhaven.core.fleet.History;
import org.heatherhaven.core.fleet.Policies;
import org.heatherhaven.core.fleet.SmallFleet;
import org.heatherhaven.core.fleet.TestNode;
import org.heatherhaven.core.model.MemberStatus;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Outcome;

/**
 * Checks that failed, paused and restarted nodes get the right member status, that leaving nodes get no new calls, and
 * that running calls are not interrupted.
 */
class MembershipTest {

    private static final Duration NO_NEW_WORK_LIMIT = Duration.ofSeconds(3);
    private static final Duration REFUTED_WITHIN = Duration.ofSeconds(2);
    private static final Duration STEP = Duration.ofMillis(200);

    @Property(tries = 20, seed = "20261204")
    void aKilledNodeIsDeclaredDeadWithinTenSecondsAndRejoinsAsANewProcess(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet = Fleets.started(seed, Faults.NONE, 8, Policies.first(200, 50, 1));
        fleet.setFaults(new Faults(0.1, 0.1, Duration.ofMillis(200), 0, 0, Duration.ofMillis(10), 0));
        TestNode victim = fleet.nodes().get((int) (seed % 8));
        fleet.kill(victim);
        fleet.run(Duration.ofSeconds(10));
        expect(fleet, victim.id(), MemberStatus.DEAD);
        String address = victim.id().value();
        int index = Integer.parseInt(address.substring(address.lastIndexOf('.') + 1, address.indexOf(':')));
        Fleets.start(fleet, index, seed);
        fleet.run(Duration.ofSeconds(8));
        expectAliveOnceSuspicionsAreRefuted(fleet, victim.id());
    }

    /**
     * Waits until no node suspects the member, then expects it to be alive. Messages are still lost, so a suspicion may
     * start at any time, and must be refuted in time.
     */
    private static void expectAliveOnceSuspicionsAreRefuted(SmallFleet fleet, NodeId id) {
        for (Duration time = Duration.ZERO; time.compareTo(REFUTED_WITHIN) < 0; time = time.plus(STEP)) {
            boolean suspected = fleet.nodes().stream()
                    .filter(TestNode::alive)
                    .map(node -> node.state().fleet().find(id).orElseThrow().status())
                    .anyMatch(MemberStatus.SUSPECT::equals);
            if (!suspected) {
                break;
            }
            fleet.run(STEP);
        }
        expect(fleet, id, MemberStatus.ALIVE);
    }

    @Property(tries = 20, seed = "20261204")
    void aNodeThatResumesAfterAPauseIsAMemberAgain(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet = Fleets.started(seed, Faults.NONE, 6, Policies.first(200, 50, 1));
        TestNode paused = fleet.nodes().get((int) (seed % 6));
        fleet.pause(paused, Duration.ofSeconds(12));
        fleet.run(Duration.ofSeconds(11));
        expect(fleet, paused.id(), MemberStatus.DEAD);
        fleet.run(Duration.ofSeconds(25));
        expect(fleet, paused.id(), MemberStatus.ALIVE);
    }

    private static void expect(SmallFleet fleet, NodeId id, MemberStatus status) {
        for (TestNode node : fleet.nodes()) {
            if (!node.alive()
                    || node.id().equals(id)
                    || node.clockAt(fleet.now()).isBefore(Instant.EPOCH)) {
                continue;
            }
            MemberStatus seen = node.state().fleet().find(id).orElseThrow().status();
            if (seen != status) {
                throw new AssertionError(node.id() + " records " + id + " as " + seen);
            }
        }
    }

    @Property(tries = 30, seed = "20261204")
    void aLeavingNodeGetsNoNewCallsAfterThreeSecondsAndFinishesRunningCalls(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet = Fleets.started(seed, Faults.NONE, 6, Policies.first(1_000, 500, 1));
        fleet.setFaults(new Faults(0.2, 0.1, Duration.ofMillis(400), 0, 0, Duration.ofMillis(10), 0));
        // Longer than the drain grace period, so that a node that did not wait for its calls would interrupt them.
        fleet.setWork(Duration.ofMillis(1_700), TargetResult.ANSWERED);
        Fleets.keepCalling(fleet, Duration.ofSeconds(10), 1_200);
        fleet.run(Duration.ofSeconds(3));
        TestNode leaving = fleet.nodes().get((int) (seed % 3) * 2 + 1);
        for (int i = 0; i < 3; i++) {
            fleet.call(fleet.nodes().get(0), "last-" + i, "/open/x", Optional.empty(), Optional.empty());
        }
        fleet.run(Duration.ofMillis(30));
        fleet.drain(leaving);
        Instant limit = fleet.now().plus(NO_NEW_WORK_LIMIT);
        fleet.run(Duration.ofSeconds(14));
        List<History.Execution> late = fleet.history().executions().stream()
                .filter(run ->
                        run.node().equals(leaving.id().value()) && run.at().isAfter(limit))
                .toList();
        if (!late.isEmpty()) {
            throw new AssertionError("new calls after three seconds: " + late.get(0));
        }
        Optional<History.Refused> interrupted = fleet.history().refusals().stream()
                .filter(refused -> refused.refusal().outcome() == Outcome.UNKNOWN)
                .findFirst();
        if (interrupted.isPresent()) {
            throw new AssertionError("a running call was interrupted: " + interrupted.get());
        }
        if (leaving.alive()) {
            throw new AssertionError("the draining node has not left");
        }
    }

    @Property(tries = 30, seed = "20261204")
    void aPeerThatIsNotInformedOfADrainCanSendNoNewCallsAfterThreeSeconds(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet = Fleets.started(seed, Faults.NONE, 8, Policies.first(1_000, 500, 1));
        TestNode uninformed = fleet.nodes().get((int) (seed % 8));
        TestNode leaving = fleet.nodes().get((int) (seed / 8 % 4) * 2 + 1);
        if (leaving == uninformed) {
            return;
        }
        String path = "/open/x";
        fleet.run(Duration.ofSeconds(1));
        fleet.setWork(Duration.ofSeconds(4), TargetResult.ANSWERED);
        for (int i = 0; i < 8; i++) {
            // At least one of these keeps the leaving node busy for more than three seconds.
            fleet.call(uninformed, "long", path, Optional.empty(), Optional.empty());
        }
        fleet.run(Duration.ofMillis(50));
        fleet.dropControlMessages(uninformed, Duration.ofSeconds(20));
        fleet.drain(leaving);
        Instant limit = fleet.now().plus(NO_NEW_WORK_LIMIT);
        fleet.run(Duration.ofMillis(100));
        fleet.setWork(Duration.ofMillis(300), TargetResult.ANSWERED);
        for (int i = 0; i < 60; i++) {
            fleet.call(uninformed, "call-" + i, path, Optional.empty(), Optional.empty());
            fleet.run(Duration.ofMillis(80));
        }
        boolean late = fleet.history().executions().stream()
                .anyMatch(run ->
                        run.node().equals(leaving.id().value()) && run.at().isAfter(limit));
        if (late) {
            throw new AssertionError("new calls after three seconds");
        }
    }

    @Property(tries = 40, seed = "20261204")
    void nodesThatStartTogetherDiscoverEachOtherDespiteMessageLoss(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet =
                new SmallFleet(seed, new Faults(0.3, 0.1, Duration.ofMillis(400), 0, 0, Duration.ofMillis(10), 0));
        for (int i = 0; i < 16; i++) {
            Fleets.start(fleet, i, seed);
            fleet.run(Duration.ofMillis(fleet.random().nextInt(40)));
        }
        fleet.run(Duration.ofSeconds(15));
        for (TestNode node : fleet.nodes()) {
            int known = node.state().fleet().members().size();
            if (known != 16) {
                throw new AssertionError(node.id() + " has discovered " + known + " of 16 members");
            }
        }
    }
}
