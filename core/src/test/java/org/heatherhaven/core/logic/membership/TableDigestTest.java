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

/** During anti-entropy a node sends its member table only if the table of the requester differs. */
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

    private static MembershipState stateWith(int self, Member... members) {
        MembershipState withoutOthers = MembershipState.start(member(self, MemberStatus.ALIVE), START);
        return MemberTableSync.handleMemberList(withoutOthers, List.of(members), START, new Outbox());
    }

    /** The request that a node sends in its first anti-entropy run. */
    private static MembersPull pullOf(MembershipState state) {
        Outbox out = new Outbox();
        MembershipLogic.tick(state, new GossipUpdate(List.of(), 0, 0), START.plusSeconds(60), out);
        return out.effects().stream()
                .filter(effect -> effect instanceof Effect.Send send && send.message() instanceof MembersPull)
                .map(effect -> (MembersPull) ((Effect.Send) effect).message())
                .findFirst()
                .orElseThrow();
    }

    private static boolean answered(MembershipState responder, MembersPull pull) {
        Outbox out = new Outbox();
        MemberTableSync.handlePull(responder, pull, START.plusSeconds(60), out);
        return out.effects().stream()
                .anyMatch(effect -> effect instanceof Effect.Send send && send.message() instanceof MembersPage);
    }

    @Example
    void anEqualTableIsNotSent() {
        MembershipState requester = stateWith(1, member(2, MemberStatus.ALIVE), member(3, MemberStatus.ALIVE));
        MembershipState responder = stateWith(2, member(3, MemberStatus.ALIVE), member(1, MemberStatus.ALIVE));
        if (answered(responder, pullOf(requester))) {
            throw new AssertionError("an equal table was sent");
        }
    }

    @Example
    void aTableWithADeadMemberThatTheRequesterHasAliveIsSent() {
        MembershipState requester = stateWith(1, member(2, MemberStatus.ALIVE), member(3, MemberStatus.ALIVE));
        MembershipState responder = stateWith(2, member(3, MemberStatus.DEAD), member(1, MemberStatus.ALIVE));
        if (!answered(responder, pullOf(requester))) {
            throw new AssertionError("the table with the dead member was not sent");
        }
    }
}
