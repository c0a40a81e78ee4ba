package org.heatherhaven.core.logic.membership;

import java.time.Instant;
import java.util.List;

import net.jqwik.api.Example;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.message.GossipUpdate;
import org.heatherhaven.core.message.MembersPage;
import org.heatherhaven.core.message.MembersPull;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.MemberStatus;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Zone;

/** Nodes that compare their tables send a table only to one that has another. */
class TableDigestTest {

    private static final Instant START = Instant.ofEpochSecond(1_000);

    private static Member member(int number, MemberStatus status) {
        return new Member(
                new NodeId("10.0.0." + number + ":7000"),
                START.toEpochMilli(),
                0,
                status,
                new Zone("r", "a"),
                "pricing",
                15);
    }

    private static MembershipState knows(int self, Member... members) {
        MembershipState alone = MembershipState.start(member(self, MemberStatus.ALIVE), START);
        return MemberTables.listed(alone, List.of(members), START, new Outbox());
    }

    /** The question that a node asks on its first look for others to compare with. */
    private static MembersPull question(MembershipState state) {
        Outbox out = new Outbox();
        MembershipLogic.tick(state, new GossipUpdate(List.of(), 0, 0), START.plusSeconds(60), out);
        return out.effects().stream()
                .filter(effect -> effect instanceof Effect.Send send && send.message() instanceof MembersPull)
                .map(effect -> (MembersPull) ((Effect.Send) effect).message())
                .findFirst()
                .orElseThrow();
    }

    private static boolean answered(MembershipState asked, MembersPull pull) {
        Outbox out = new Outbox();
        MemberTables.answerPull(asked, pull, START.plusSeconds(60), out);
        return out.effects().stream()
                .anyMatch(effect -> effect instanceof Effect.Send send && send.message() instanceof MembersPage);
    }

    @Example
    void anEqualTableIsNotSentAgain() {
        MembershipState asking = knows(1, member(2, MemberStatus.ALIVE), member(3, MemberStatus.ALIVE));
        MembershipState asked = knows(2, member(3, MemberStatus.ALIVE), member(1, MemberStatus.ALIVE));
        if (answered(asked, question(asking))) {
            throw new AssertionError("the same table was sent");
        }
    }

    @Example
    void aTableThatKnowsOfADeathIsSent() {
        MembershipState asking = knows(1, member(2, MemberStatus.ALIVE), member(3, MemberStatus.ALIVE));
        MembershipState asked = knows(2, member(3, MemberStatus.DEAD), member(1, MemberStatus.ALIVE));
        if (!answered(asked, question(asking))) {
            throw new AssertionError("the death was not told");
        }
    }
}
