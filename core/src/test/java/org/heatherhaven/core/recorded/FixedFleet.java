package org.heatherhaven.core.recorded;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.logic.membership.MemberTableSync;
import org.heatherhaven.core.logic.membership.MembershipState;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.MemberStatus;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Zone;

/** Fleets that never change, for what is worked out from the members. */
public final class FixedFleet {

    public static final Instant NOW = Instant.ofEpochMilli(1_700_000_000_000L);

    private static final List<Zone> ZONES = List.of(
            new Zone("north", "n1"),
            new Zone("north", "n2"),
            new Zone("south", "s1"),
            new Zone("south", "s2"),
            new Zone("west", "w1"));

    private FixedFleet() {}

    /** Nine nodes in three zones, all in service. */
    public static List<Member> nine() {
        return fleet(9, 3);
    }

    /** Nodes in service, spread over zones in turn. */
    public static List<Member> fleet(int nodes, int zones) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            members.add(new Member(
                    new NodeId("10." + i % zones + ".0." + (i + 1) + ":7000"),
                    NOW.toEpochMilli() - 60_000 - i,
                    i % 4,
                    MemberStatus.ALIVE,
                    ZONES.get(i % zones),
                    i % 2 == 0 ? "pricing" : "bookings",
                    15));
        }
        return members;
    }

    /** What one node of a fleet knows. */
    public static MembershipState seenBy(Member self, List<Member> members) {
        return MemberTableSync.handleMemberList(MembershipState.start(self, NOW), members, NOW, new Outbox());
    }
}
