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

/** Calls leave their zone only for a target that has room when their own has none. */
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
        int stay = 0;
        for (int call = 0; call < CALLS; call++) {
            Optional<NodeId> chosen =
                    RoutingLogic.choose(state, RoutingMode.TWO_CHOICES, fleet(), "s", Set.of(), random, NOW);
            stay += chosen.filter(LOCAL::equals).isPresent() ? 1 : 0;
        }
        return stay;
    }

    private static void expect(boolean holds, String what) {
        if (!holds) {
            throw new AssertionError(what);
        }
    }

    @Example
    void callsStayWhileTheirZoneHasRoom() {
        expect(callsThatStay(loads(800, 0)) == CALLS, "some left a zone with room");
    }

    /** A small service under steady load: each zone's targets are just full, and nothing waits. */
    @Example
    void callsStayWhileNothingWaitsThoughAnotherZoneIsIdle() {
        expect(callsThatStay(loads(1_050, 0)) == CALLS, "some crossed zones though no work waited");
    }

    @Example
    void callsStayWhereAllZonesAreAboutAsFull() {
        expect(callsThatStay(loads(1_700, 1_200)) == CALLS, "some went from one full target to another");
    }

    @Example
    void callsLeaveAZoneThatIsMuchFullerThanAnother() {
        expect(callsThatStay(loads(2_500, 1_200)) == 0, "some waited at the longest queue");
    }

    @Example
    void callsLeaveAFullZoneForOneWithRoom() {
        expect(callsThatStay(loads(2_500, 300)) == 0, "some stayed at a full target");
    }

    @Example
    void aCallThatWasTurnedBackIsNotSentWhereEverythingIsFull() {
        RoutingState full = loads(2_500, 1_200);
        expect(!RoutingLogic.hasRoom(full, fleet(), "s", Set.of(LOCAL), NOW), "room at a full target");
        expect(RoutingLogic.hasRoom(loads(2_500, 300), fleet(), "s", Set.of(LOCAL), NOW), "no room at an idle one");
    }

    @Example
    void withoutRecentWordATargetIsTriedAgain() {
        boolean room = RoutingLogic.hasRoom(loads(2_500, 2_500), fleet(), "s", Set.of(), NOW.plusSeconds(1));
        expect(room, "held for full for ever");
    }
}
