package org.heatherhaven.core.logic.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.logic.Hashes;
import org.heatherhaven.core.message.MembersPage;
import org.heatherhaven.core.message.MembersPull;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;

/** Exchanges member tables: for a node that joins, and as anti-entropy for changes that gossip failed to deliver. */
public final class MemberTableSync {

    /** One anti-entropy pull in this many goes to a member of any zone, the others to members of this node's zone. */
    private static final int ANY_ZONE_ONE_IN = 4;

    /** Number of members from which a joining node requests the complete table. */
    private static final int SEEDS = 2;

    /** Number of these members that are in the zone of the joining node. */
    private static final int OWN_ZONE_SEEDS = 1;

    private static final int MEMBERS_PER_PAGE = 512;

    /** Digest of a pull that is always answered, without a comparison of tables. */
    private static final long NO_DIGEST = 0;

    private MemberTableSync() {}

    /**
     * Requests a page of a random member's table that starts at a random member, to make up for changes that gossip
     * failed to deliver. If the table fits into one page, the request contains its digest, so that an equal table isn't
     * sent.
     */
    static void pullFromRandomMember(MembershipState state, Outbox out) {
        SplittableRandom random = new SplittableRandom(
                state.nextProbeSeq() + Hashes.of(state.self().id().value()));
        List<Member> others = state.members().values().stream()
                .filter(member -> !member.status().departed()
                        && !member.id().equals(state.self().id()))
                .toList();
        if (others.isEmpty()) {
            return;
        }
        List<Member> inOwnZone = others.stream()
                .filter(member -> member.zone().equals(state.self().zone()))
                .toList();
        List<Member> candidates = inOwnZone.isEmpty() || random.nextInt(ANY_ZONE_ONE_IN) == 0 ? others : inOwnZone;
        NodeId peer = candidates.get(random.nextInt(candidates.size())).id();
        boolean onePage = others.size() < MEMBERS_PER_PAGE;
        String after =
                onePage ? "" : others.get(random.nextInt(others.size())).id().value();
        long digest = onePage ? digest(state) : NO_DIGEST;
        out.add(new Effect.Send(peer, new MembersPull(state.self(), after, false, digest)));
    }

    /**
     * Returns a digest that is equal for equal tables, whatever the order of their members. It covers the status, so
     * that tables that differ only in a suspicion are exchanged too.
     */
    private static long digest(MembershipState state) {
        long sum = 0;
        for (Member member : state.members().values()) {
            sum += Hashes.of(member.id() + "|" + member.epoch() + "|" + member.refutation() + "|" + member.status());
        }
        return sum == NO_DIGEST ? 1 : sum;
    }

    /**
     * Merges the members announced on the platform, and requests the complete table of some of those that were not known
     * as present.
     *
     * @param state the current state
     * @param members members listed by the platform
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static MembershipState handleMemberList(
            MembershipState state, List<Member> members, Instant now, Outbox out) {
        MembershipState next = state;
        for (Member member : members) {
            next = MembershipLogic.merge(next, member, now);
        }
        List<Member> unknown = members.stream()
                .filter(member -> !knownAsPresent(state, member))
                .toList();
        seeds(state.self(), unknown)
                .forEach(seed ->
                        out.add(new Effect.Send(seed.id(), new MembersPull(state.self(), "", true, NO_DIGEST))));
        // The time of the last contact is not updated: the list is not from a peer, so it does not show that this node
        // can reach its peers.
        return next;
    }

    private static boolean knownAsPresent(MembershipState state, Member listed) {
        return state.find(listed.id())
                .filter(known ->
                        known.epoch() >= listed.epoch() && !known.status().departed())
                .isPresent();
    }

    /**
     * Chooses the members whose complete table is requested: one of this node's zone and one of another zone, in case
     * this node's zone is cut off.
     */
    private static List<Member> seeds(Member self, List<Member> others) {
        Map<Boolean, List<Member>> byZone = others.stream()
                .collect(Collectors.partitioningBy(member -> member.zone().equals(self.zone())));
        List<Member> seeds = new ArrayList<>(Rings.rendezvous("join|" + self.id(), byZone.get(true), OWN_ZONE_SEEDS));
        seeds.addAll(Rings.rendezvous("join|" + self.id(), byZone.get(false), SEEDS - seeds.size()));
        return seeds;
    }

    /**
     * Answers a request for a page of the member table. Nothing is sent if the request contains a digest equal to that
     * of this node's table; if the digests differ, a page of the requester's table is requested as well.
     *
     * @param state the current state
     * @param pull the request
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static MembershipState handlePull(MembershipState state, MembersPull pull, Instant now, Outbox out) {
        MembershipState next = MembershipLogic.mergeAndEnqueue(state, pull.from(), now);
        if (pull.digest() != NO_DIGEST && pull.digest() == digest(next)) {
            return next;
        }
        List<Member> page = new ArrayList<>();
        boolean more = false;
        for (Member member :
                next.members().tailMap(new NodeId(pull.after()), false).values()) {
            if (page.size() == MEMBERS_PER_PAGE) {
                more = pull.allPages();
                break;
            }
            page.add(member);
        }
        out.add(new Effect.Send(pull.from().id(), new MembersPage(state.self().id(), page, more)));
        if (pull.digest() != NO_DIGEST) {
            // The tables differ, so the requester's may have entries that are missing here.
            out.add(new Effect.Send(pull.from().id(), new MembersPull(next.self(), "", false, NO_DIGEST)));
        }
        return next;
    }

    /**
     * Merges a page of another member's table, and requests the next one if more pages follow.
     *
     * @param state the current state
     * @param page the page
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static MembershipState handlePage(MembershipState state, MembersPage page, Instant now, Outbox out) {
        MembershipState next = state;
        for (Member member : page.members()) {
            next = MembershipLogic.merge(next, member, now);
        }
        if (page.more() && !page.members().isEmpty()) {
            String last = page.members().get(page.members().size() - 1).id().value();
            out.add(new Effect.Send(page.from(), new MembersPull(next.self(), last, true, NO_DIGEST)));
        }
        return next;
    }
}
