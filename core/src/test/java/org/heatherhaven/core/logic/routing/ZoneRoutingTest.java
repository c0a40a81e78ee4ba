package org.heatherhaven.core.logic.routing;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import net.jqwik.api.Example;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.logic.membership.MemberTableSync;
import org.heatherhaven.core.logic.membership.MembershipState;
import org.heatherhaven.core.message.MembersPage;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.MemberStatus;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Zone;

/** Checks that calls leave their zone only if its targets are full and another zone has clearly more room. */
class ZoneRoutingTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final NodeId LOCAL = new NodeId("10.0.0.1:1");
    private static final NodeId AWAY = new NodeId("10.0.1.1:1");
    private static final int CALLS = 100;

    private static Member member(String id, String zone, String service) {
        return new Member(new NodeId(id), 1, 0, MemberStatus.ALIVE, new Zone("r", zone), service, 10);
    }

    private static MembershipState fleet() {
        Member self = member("10.0.0.9:1", "a", "other");
        MembersPage page = new MembersPage(
                self.id(), List.of(member(LOCAL.value(), "a", "s"), member(AWAY.value(), "b", "s")), false);
        return MemberTableSync.handlePage(MembershipState.start(self, NOW), page, NOW, new Outbox());
    }

    private static RoutingState loads(int local, int away) {
        RoutingState state = RoutingLogic.sent(RoutingLogic.sent(RoutingState.EMPTY, LOCAL, NOW), AWAY, NOW);
        state = RoutingLogic.succeeded(state, LOCAL, local, NOW);
        return RoutingLogic.succeeded(state, AWAY, away, NOW);
    }

    private static int callsThatStay(RoutingState state) {
        SplittableRandom random = new SplittableRandom(1);
        int staying = 0;
        for (int call = 0; call < CALLS; call++) {
            Optional<NodeId> chosen =
                    RoutingLogic.choose(state, RoutingMode.TWO_CHOICES, fleet(), "s", Set.of(), random, NOW);
            staying += chosen.filter(LOCAL::equals).isPresent() ? 1 : 0;
        }
        return staying;
    }

    private static void expect(boolean holds, String what) {
        if (!holds) {
            throw new AssertionError(what);
        }
    }

    @Example
    void callsStayInAZoneWithSpareCapacity() {
        expect(callsThatStay(loads(800, 0)) == CALLS, "some calls left a zone with spare capacity");
    }

    /** The targets of each zone of a small service are just full under steady load, and no calls queue. */
    @Example
    void callsStayWhileNoCallsQueueEvenIfAnotherZoneIsIdle() {
        expect(callsThatStay(loads(1_050, 0)) == CALLS, "some calls crossed zones though none queued");
    }

    @Example
    void callsStayIfAllZonesAreAboutEquallyFull() {
        expect(callsThatStay(loads(1_700, 1_200)) == CALLS, "some calls went from one full target to another");
    }

    @Example
    void callsLeaveAZoneThatIsMuchFullerThanAnother() {
        expect(callsThatStay(loads(2_500, 1_200)) == 0, "some calls stayed at the longest queue");
    }

    @Example
    void callsLeaveAFullZoneForOneWithSpareCapacity() {
        expect(callsThatStay(loads(2_500, 300)) == 0, "some calls stayed at a full target");
    }

    @Example
    void onlyATargetWithSpareCapacityCountsAsRoomForARefusedCall() {
        RoutingState full = loads(2_500, 1_200);
        expect(!RoutingLogic.hasRoom(full, fleet(), "s", Set.of(LOCAL), NOW), "room reported at a full target");
        expect(
                RoutingLogic.hasRoom(loads(2_500, 300), fleet(), "s", Set.of(LOCAL), NOW),
                "no room reported at an idle target");
    }

    @Example
    void aTargetWithoutARecentLoadReportIsTriedAgain() {
        boolean room = RoutingLogic.hasRoom(loads(2_500, 2_500), fleet(), "s", Set.of(), NOW.plusSeconds(1));
        expect(room, "a stale load still counts as full");
    }
}
