package org.heatherhaven.core.logic.membership;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.message.GossipUpdate;
import org.heatherhaven.core.message.MembersPull;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.MemberStatus;
import org.heatherhaven.core.recorded.FixedFleet;
import org.heatherhaven.core.recorded.Recorded;

/**
 * Watchers, neighbours and the digest of a member table stay as recorded, because nodes of different versions must
 * agree on them.
 */
class RecordedRingsTest {

    private static final List<Member> NINE = FixedFleet.nine();

    private static List<String> ids(List<Member> members) {
        return members.stream().map(member -> member.id().value()).toList();
    }

    private static List<String> pulls(Outbox out) {
        List<String> pulls = new ArrayList<>();
        for (Effect effect : out.effects()) {
            if (effect instanceof Effect.Send send && send.message() instanceof MembersPull pull) {
                pulls.add(send.to() + " after=" + pull.after() + " whole=" + pull.allPages() + " digest="
                        + pull.digest());
            }
        }
        return pulls;
    }

    @Example
    void ranksNeighboursAndWatchersAreThoseRecorded() {
        List<String> lines = new ArrayList<>();
        for (String task : List.of("watch|north/n1", "right|share/banquets/3", "join|10.1.0.2:7000", "")) {
            lines.add("order of '" + task + "' " + ids(Rings.rendezvous(task, NINE, 9)));
        }
        List<Member> large = FixedFleet.fleet(140, 1);
        for (Member self : NINE) {
            lines.add("neighbours of " + self.id() + " " + Rings.chooseNeighbours(self, NINE));
        }
        for (Member self : NINE.subList(0, 3)) {
            lines.add("watchers of " + self.zone() + " " + ids(Rings.platformWatchers(self.zone(), NINE)));
        }
        lines.add("watchers of many " + ids(Rings.platformWatchers(large.get(0).zone(), large)));
        for (Member self : large.subList(0, 6)) {
            lines.add("neighbours of " + self.id() + " among many " + Rings.chooseNeighbours(self, large));
        }
        Recorded.requireSame("rings.txt", lines);
    }

    @Example
    void joiningNodesSendTheRecordedPulls() {
        List<String> lines = new ArrayList<>();
        for (Member self : NINE) {
            Outbox out = new Outbox();
            MemberTableSync.handleMemberList(MembershipState.start(self, FixedFleet.NOW), NINE, FixedFleet.NOW, out);
            lines.add(self.id() + " asks " + pulls(out));
        }
        Recorded.requireSame("joins.txt", lines);
    }

    @Example
    void pullsWithDigestsAreThoseRecorded() {
        List<String> lines = new ArrayList<>();
        MemberStatus[] statuses = MemberStatus.values();
        for (int known = 2; known <= NINE.size(); known++) {
            List<Member> members = new ArrayList<>();
            for (int i = 0; i < known; i++) {
                members.add(i < 2 ? NINE.get(i) : NINE.get(i).withStatus(statuses[i % statuses.length]));
            }
            MembershipState state = FixedFleet.seenBy(members.get(0), members);
            Outbox out = new Outbox();
            MemberTableSync.pullFromRandomMember(state, out);
            lines.add("comparison with " + known + " known " + pulls(out));
        }
        Recorded.requireSame("digests.txt", lines);
    }

    @Example
    void aTickWithARoundOfProbesSendsOnePull() {
        Outbox out = new Outbox();
        MembershipLogic.tick(
                FixedFleet.seenBy(NINE.get(0), NINE),
                new GossipUpdate(List.of(), 0, 0),
                FixedFleet.NOW.plusSeconds(60),
                out);
        if (pulls(out).size() != 1) {
            throw new AssertionError("expected one pull, got " + pulls(out));
        }
    }
}
