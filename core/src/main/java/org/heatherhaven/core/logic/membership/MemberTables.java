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

/** Whole tables of members: where a node that joins gets one, and how nodes find what news did not tell them. */
public final class MemberTables {

    /** One comparison in this many goes to any zone, the others stay near. */
    private static final int FAR_COMPARED = 4;

    private static final int SEEDS = 2;

    private static final int NEAR_SEEDS = 1;

    private static final int PAGE_MEMBERS = 512;

    private static final long NO_DIGEST = 0;

    private MemberTables() {}

    /** Asks a random member for a random page of its table: news that died out on their way are made up for. */
    static void compare(MembershipState state, Outbox out) {
        SplittableRandom random = new SplittableRandom(
                state.nextSeq() + Hashes.of(state.self().id().value()));
        List<Member> others = state.members().values().stream()
                .filter(member -> !member.status().departed()
                        && !member.id().equals(state.self().id()))
                .toList();
        if (others.isEmpty()) {
            return;
        }
        List<Member> near = others.stream()
                .filter(member -> member.zone().equals(state.self().zone()))
                .toList();
        List<Member> peers = near.isEmpty() || random.nextInt(FAR_COMPARED) == 0 ? others : near;
        NodeId peer = peers.get(random.nextInt(peers.size())).id();
        boolean onePage = others.size() < PAGE_MEMBERS;
        String after =
                onePage ? "" : others.get(random.nextInt(others.size())).id().value();
        long digest = onePage ? digest(state) : NO_DIGEST;
        out.add(new Effect.Send(peer, new MembersPull(state.self(), after, false, digest)));
    }

    /** Equal for equal tables, whatever their order; a suspicion is news and changes it. */
    private static long digest(MembershipState state) {
        long sum = 0;
        for (Member member : state.members().values()) {
            sum += Hashes.of(member.id() + "|" + member.epoch() + "|" + member.refutation() + "|" + member.status());
        }
        return sum == NO_DIGEST ? 1 : sum;
    }

    /**
     * Takes the members announced on the platform, and asks some of them for the whole table.
     *
     * @param state the state
     * @param members what the platform listed
     * @param now current time
     * @param out takes the effects
     * @return the new state
     */
    public static MembershipState listed(MembershipState state, List<Member> members, Instant now, Outbox out) {
        MembershipState next = state;
        for (Member member : members) {
            next = MembershipLogic.learnQuietly(next, member, now);
        }
        List<Member> others = members.stream()
                .filter(member -> !member.id().equals(state.self().id()))
                .toList();
        seeds(state.self(), others)
                .forEach(seed ->
                        out.add(new Effect.Send(seed.id(), new MembersPull(state.self(), "", true, NO_DIGEST))));
        // The list is no word of a peer: it vouches for nothing that a peer would know.
        return next;
    }

    /** Members that are asked for their whole table: near ones, and one elsewhere, should the zone be cut off. */
    private static List<Member> seeds(Member self, List<Member> others) {
        Map<Boolean, List<Member>> byZone = others.stream()
                .collect(Collectors.partitioningBy(member -> member.zone().equals(self.zone())));
        List<Member> seeds = new ArrayList<>(Rings.rendezvous("join|" + self.id(), byZone.get(true), NEAR_SEEDS));
        seeds.addAll(Rings.rendezvous("join|" + self.id(), byZone.get(false), SEEDS - seeds.size()));
        return seeds;
    }

    /**
     * Answers a member that joins.
     *
     * @param state the state
     * @param pull the question
     * @param now current time
     * @param out takes the effects
     * @return the new state
     */
    public static MembershipState answerPull(MembershipState state, MembersPull pull, Instant now, Outbox out) {
        MembershipState next = MembershipLogic.learn(state, pull.from(), now);
        if (pull.digest() != NO_DIGEST && pull.digest() == digest(next)) {
            return next;
        }
        List<Member> page = new ArrayList<>();
        boolean more = false;
        for (Member member :
                next.members().tailMap(new NodeId(pull.after()), false).values()) {
            if (page.size() == PAGE_MEMBERS) {
                more = pull.allPages();
                break;
            }
            page.add(member);
        }
        out.add(new Effect.Send(pull.from().id(), new MembersPage(state.self().id(), page, more)));
        if (pull.digest() != NO_DIGEST) {
            // The tables differ, and the other may hold what is missing here.
            out.add(new Effect.Send(pull.from().id(), new MembersPull(next.self(), "", false, NO_DIGEST)));
        }
        return next;
    }

    /**
     * Takes a page of another member's table.
     *
     * @param state the state
     * @param page the page
     * @param now current time
     * @param out takes the effects
     * @return the new state
     */
    public static MembershipState page(MembershipState state, MembersPage page, Instant now, Outbox out) {
        MembershipState next = state;
        for (Member member : page.members()) {
            next = MembershipLogic.learnQuietly(next, member, now);
        }
        if (page.more() && !page.members().isEmpty()) {
            String last = page.members().get(page.members().size() - 1).id().value();
            out.add(new Effect.Send(page.from(), new MembersPull(next.self(), last, true, NO_DIGEST)));
        }
        return next;
    }
}
