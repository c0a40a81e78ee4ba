package org.heatherhaven.core.logic.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.message.GossipUpdate;
import org.heatherhaven.core.message.Probe;
import org.heatherhaven.core.message.ProbeAck;
import org.heatherhaven.core.message.ProbeRequest;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.MemberStatus;
import org.heatherhaven.core.model.NodeId;
import org.pcollections.PMap;
import org.pcollections.PVector;

/**
 * Reducer of the membership.
 *
 * <p>A member is probed by the members before it in each ring. A probe without an answer is repeated through two
 * others; then the member is suspected, which it can refute, and declared dead after a while.
 */
public final class MembershipLogic {

    /** Time between two probes of one neighbour. */
    public static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);

    /** Time between two probes while there are news to tell. */
    static final Duration NEWS_INTERVAL = Duration.ofMillis(200);

    /** A watcher that has not answered by then is passed over, before it is suspected of anything. */
    private static final Duration WATCHER_ANSWERS = Duration.ofMillis(400);

    private static final Duration RELAY_AFTER = Duration.ofMillis(500);
    private static final Duration SUSPECT_AFTER = Duration.ofMillis(1_200);
    private static final Duration DEAD_AFTER = Duration.ofSeconds(2);
    private static final Duration COMPARE_FASTEST = Duration.ofSeconds(2);
    private static final Duration COMPARE_SLOWEST = Duration.ofSeconds(60);
    private static final Duration COMPARE_PER_MEMBER = Duration.ofMillis(60);
    private static final Duration LIST_RETRY = Duration.ofSeconds(2);
    private static final int RELAYS = 2;
    private static final int MAX_NEWS_PER_MESSAGE = 32;

    /**
     * Rounds in which all neighbours are told a piece of news: the second makes up for a lost message, and what is
     * missed even then is found when tables are compared.
     */
    private static final int ROUNDS_TOLD = 2;

    private MembershipLogic() {}

    /**
     * Lets time pass.
     *
     * @param state the state
     * @param rumours what else travels with probes
     * @param now current time
     * @param out takes the effects
     * @return the new state
     */
    public static MembershipState tick(MembershipState state, GossipUpdate rumours, Instant now, Outbox out) {
        MembershipState next = expireSuspects(state, now, out);
        next = checkPending(next, now, out);
        if (!now.isBefore(next.nextProbeAt())) {
            next = probeNeighbours(next, rumours, now, out);
        }
        if (!now.isBefore(next.nextRejoinAt())) {
            next = rejoin(next, rumours, now, out);
        }
        return next;
    }

    private static MembershipState probeNeighbours(
            MembershipState state, GossipUpdate rumours, Instant now, Outbox out) {
        MembershipState next = state;
        if (state.neighboursStale()) {
            next = next.withNeighbours(
                    Rings.successors(state.self(), state.members().values()));
        }
        GossipUpdate told = withNews(next, rumours);
        GossipUpdate fresh = withNews(next, rumours, ROUNDS_TOLD);
        boolean full =
                !now.isBefore(state.nextFullRoundAt()) || !fresh.members().isEmpty();
        for (NodeId neighbour : next.neighbours()) {
            boolean near = near(next, neighbour);
            if (near || full) {
                next = probe(next, neighbour, near ? told : fresh, now, out);
            }
        }
        next = next.neighbours().isEmpty()
                ? next
                : newsTold(next, told.members().size());
        Duration interval = next.news().isEmpty() ? PROBE_INTERVAL : NEWS_INTERVAL;
        return next.withNextProbeAt(now.plus(interval), full ? now.plus(PROBE_INTERVAL) : state.nextFullRoundAt());
    }

    private static boolean near(MembershipState state, NodeId other) {
        return state.find(other)
                .filter(member -> member.zone().equals(state.self().zone()))
                .isPresent();
    }

    private static MembershipState probe(
            MembershipState state, NodeId target, GossipUpdate told, Instant now, Outbox out) {
        long seq = state.nextSeq();
        out.add(new Effect.Send(target, new Probe(state.self(), seq, told)));
        boolean waiting = state.pending().values().stream()
                .anyMatch(pending -> pending.target().equals(target));
        PMap<Long, PendingProbe> pending =
                waiting ? state.pending() : state.pending().plus(seq, new PendingProbe(target, now, false));
        return state.withPending(pending, seq + 1);
    }

    private static MembershipState checkPending(MembershipState state, Instant now, Outbox out) {
        MembershipState next = state;
        for (Map.Entry<Long, PendingProbe> entry : state.pending().entrySet()) {
            PendingProbe probe = entry.getValue();
            Duration age = Duration.between(probe.sentAt(), now);
            if (age.compareTo(SUSPECT_AFTER) >= 0) {
                next = suspect(next.withPending(next.pending().minus(entry.getKey()), next.nextSeq()), probe, now);
            } else if (!probe.relayed() && age.compareTo(RELAY_AFTER) >= 0) {
                relay(next, probe, entry.getKey(), out);
                PendingProbe relayed = new PendingProbe(probe.target(), probe.sentAt(), true);
                next = next.withPending(next.pending().plus(entry.getKey(), relayed), next.nextSeq());
            }
        }
        return next;
    }

    private static void relay(MembershipState state, PendingProbe probe, long seq, Outbox out) {
        state.neighbours().stream()
                .filter(id -> !id.equals(probe.target()))
                .limit(RELAYS)
                .forEach(id -> out.add(new Effect.Send(id, new ProbeRequest(state.self(), probe.target(), seq))));
    }

    private static MembershipState suspect(MembershipState state, PendingProbe probe, Instant now) {
        Optional<Member> member = state.find(probe.target());
        if (member.isEmpty() || member.get().status().departed() || member.get().status() == MemberStatus.SUSPECT) {
            return state;
        }
        return learn(state, member.get().withStatus(MemberStatus.SUSPECT), now);
    }

    private static MembershipState expireSuspects(MembershipState state, Instant now, Outbox out) {
        MembershipState next = state;
        for (Map.Entry<NodeId, Instant> entry : state.suspects().entrySet()) {
            if (now.isBefore(entry.getValue())) {
                continue;
            }
            next = next.withSuspects(next.suspects().minus(entry.getKey()));
            Optional<Member> member = next.find(entry.getKey());
            if (member.isPresent() && member.get().status() == MemberStatus.SUSPECT) {
                Member dead = member.get().withStatus(MemberStatus.DEAD);
                next = learn(next, dead, now);
                // Every node comes to this conclusion; only the one before it in the last ring, which crosses all
                // zones, clears up after it.
                if (next.neighbours().indexOf(dead.id()) == next.neighbours().size() - 1) {
                    out.add(new Effect.RemoveAnnouncement(dead.owner()));
                }
            }
        }
        return next;
    }

    /** Tries a dead member now and then, so that the halves of a healed cut find each other. */
    private static MembershipState rejoin(MembershipState state, GossipUpdate rumours, Instant now, Outbox out) {
        List<Member> dead = state.members().values().stream()
                .filter(member -> member.status() == MemberStatus.DEAD)
                .toList();
        boolean alone = state.members().size() - dead.size() <= 1;
        if (alone) {
            out.add(new Effect.ListMembers());
        }
        if (!dead.isEmpty()) {
            int pick = new SplittableRandom(state.nextSeq()).nextInt(dead.size());
            NodeId target = dead.get(pick).id();
            out.add(new Effect.Send(target, new Probe(state.self(), state.nextSeq(), withNews(state, rumours))));
        }
        MemberTables.compare(state, out);
        return state.withPending(state.pending(), state.nextSeq() + 1)
                .withNextRejoinAt(now.plus(alone ? LIST_RETRY : compareInterval(state, now)));
    }

    /** Often in a small fleet and soon after the start; in a large fleet a page a minute is what there is room for. */
    private static Duration compareInterval(MembershipState state, Instant now) {
        Duration age = Duration.between(Instant.ofEpochMilli(state.self().epoch()), now);
        Duration bySize = COMPARE_PER_MEMBER.multipliedBy(state.members().size());
        boolean often = age.compareTo(COMPARE_SLOWEST) < 0 || bySize.compareTo(COMPARE_FASTEST) < 0;
        if (often) {
            return COMPARE_FASTEST;
        }
        return bySize.compareTo(COMPARE_SLOWEST) > 0 ? COMPARE_SLOWEST : bySize;
    }

    /**
     * Answers a probe.
     *
     * @param state the state
     * @param probe the probe
     * @param rumours what else travels with the answer
     * @param now current time
     * @param out takes the effects
     * @return the new state
     */
    public static MembershipState probed(
            MembershipState state, Probe probe, GossipUpdate rumours, Instant now, Outbox out) {
        MembershipState next = hear(state, probe.from(), probe.gossip(), now);
        // A prober that this node holds for dead must learn so, or it could not refute it.
        Optional<Member> account = state.find(probe.from().id()).filter(known -> known.supersedes(probe.from()));
        GossipUpdate answer = new GossipUpdate(
                account.map(List::of).orElse(List.of()), rumours.policyVersion(), rumours.confirmedAgoMillis());
        out.add(new Effect.Send(probe.replyTo(), new ProbeAck(next.self(), probe.seq(), answer)));
        return next;
    }

    /**
     * Probes a member on behalf of another; the answer goes to the asker.
     *
     * @param state the state
     * @param request the question
     * @param rumours what else travels with the probe
     * @param out takes the effects
     */
    public static void relayed(MembershipState state, ProbeRequest request, GossipUpdate rumours, Outbox out) {
        GossipUpdate plain = new GossipUpdate(List.of(), rumours.policyVersion(), rumours.confirmedAgoMillis());
        out.add(new Effect.Send(request.target(), new Probe(request.from(), request.seq(), plain)));
    }

    /**
     * Takes the answer to a probe.
     *
     * @param state the state
     * @param ack the answer
     * @param now current time
     * @return the new state
     */
    public static MembershipState acknowledged(MembershipState state, ProbeAck ack, Instant now) {
        MembershipState next = hear(state, ack.from(), ack.gossip(), now);
        PMap<Long, PendingProbe> pending = next.pending();
        for (Map.Entry<Long, PendingProbe> entry : next.pending().entrySet()) {
            if (entry.getValue().target().equals(ack.from().id())) {
                pending = pending.minus(entry.getKey());
            }
        }
        return next.withPending(pending, next.nextSeq());
    }

    /**
     * When a probe was sent, so that ages in its answer can be counted from a safe moment.
     *
     * @param state the state
     * @param ack the answer
     * @return the moment, if the probe still waits
     */
    public static Optional<Instant> sentAt(MembershipState state, ProbeAck ack) {
        return Optional.ofNullable(state.pending().get(ack.seq())).map(PendingProbe::sentAt);
    }

    /**
     * Tells whether the neighbour that watches the platform for this node leaves a probe unanswered.
     *
     * @param state the state
     * @param now current time
     * @return true if its word can't be counted on at present
     */
    public static boolean watcherSilent(MembershipState state, Instant now) {
        if (state.neighbours().isEmpty()) {
            return true;
        }
        NodeId watcher = state.neighbours().get(0);
        return state.pending().values().stream()
                .anyMatch(probe -> probe.target().equals(watcher)
                        && Duration.between(probe.sentAt(), now).compareTo(WATCHER_ANSWERS) > 0);
    }

    private static MembershipState hear(MembershipState state, Member from, GossipUpdate rumours, Instant now) {
        MembershipState next = learn(state, from, now).withHeardAt(now);
        for (Member member : rumours.members()) {
            next = learn(next, member, now);
        }
        return next;
    }

    /**
     * Changes this node's own status and tells it at once.
     *
     * @param state the state
     * @param status the new status
     * @param rumours what else travels with the probes
     * @param now current time
     * @param out takes the effects
     * @return the new state
     */
    public static MembershipState announceSelf(
            MembershipState state, MemberStatus status, GossipUpdate rumours, Instant now, Outbox out) {
        Member self = state.self().withRefutation(state.self().refutation() + 1, status);
        return probeNeighbours(addNews(state.withMember(self), self), rumours, now, out);
    }

    /**
     * Tells the neighbours something at once, instead of with the next probe.
     *
     * @param state the state
     * @param rumours what is told
     * @param now the time
     * @param out effects
     * @return the new state
     */
    public static MembershipState tellNeighbours(MembershipState state, GossipUpdate rumours, Instant now, Outbox out) {
        return probeNeighbours(state, rumours, now, out);
    }

    /**
     * Changes the service that this node stands for and tells it at once.
     *
     * @param state the state
     * @param service service of the node's target, empty while it has none
     * @param slots calls that the target works on at a time
     * @param rumours what travels with the news
     * @param now the time
     * @param out effects
     * @return the new state
     */
    public static MembershipState announceTarget(
            MembershipState state, String service, int slots, GossipUpdate rumours, Instant now, Outbox out) {
        Member self = state.self();
        if (self.service().equals(service) && self.slots() == slots) {
            return state;
        }
        Member changed = self.withTarget(service, slots);
        return probeNeighbours(addNews(state.withMember(changed), changed), rumours, now, out);
    }

    static MembershipState learn(MembershipState state, Member account, Instant now) {
        MembershipState next = learnQuietly(state, account, now);
        boolean about = account.id().equals(state.self().id());
        return next == state || about ? next : addNews(next, account);
    }

    /** Takes an account that others know already, so that it need not be told again. */
    static MembershipState learnQuietly(MembershipState state, Member account, Instant now) {
        if (account.id().equals(state.self().id())) {
            return aboutSelf(state, account);
        }
        Optional<Member> known = state.find(account.id());
        if (known.isPresent() && !account.supersedes(known.get())) {
            return state;
        }
        MembershipState next = state.withMember(account);
        if (account.status() == MemberStatus.SUSPECT) {
            return next.withSuspects(next.suspects().plus(account.id(), now.plus(DEAD_AFTER)));
        }
        return next;
    }

    private static MembershipState aboutSelf(MembershipState state, Member account) {
        Member self = state.self();
        if (account.epoch() > self.epoch()) {
            // The clock stood behind when this process started: without a later start nobody would believe it.
            Member later = self.withEpoch(account.epoch() + 1);
            return addNews(state.withMember(later), later);
        }
        if (account.epoch() != self.epoch() || !account.supersedes(self)) {
            return state;
        }
        Member refuted = self.withRefutation(account.refutation() + 1, self.status());
        return addNews(state.withMember(refuted), refuted);
    }

    private static MembershipState addNews(MembershipState state, Member member) {
        PVector<News> news = state.news();
        for (int i = 0; i < news.size(); i++) {
            if (news.get(i).member().id().equals(member.id())) {
                news = news.minus(i);
                break;
            }
        }
        return state.withNews(news.plus(new News(member, ROUNDS_TOLD)));
    }

    private static GossipUpdate withNews(MembershipState state, GossipUpdate rumours) {
        return withNews(state, rumours, 1);
    }

    /** The oldest news, of them only those that are still to be told so often. */
    private static GossipUpdate withNews(MembershipState state, GossipUpdate rumours, int rounds) {
        List<Member> members = state.news().stream()
                .limit(MAX_NEWS_PER_MESSAGE)
                .filter(news -> news.sends() >= rounds)
                .map(News::member)
                .toList();
        return new GossipUpdate(members, rumours.policyVersion(), rumours.confirmedAgoMillis());
    }

    /** Counts a round in which the oldest news were told to all neighbours. */
    private static MembershipState newsTold(MembershipState state, int sent) {
        if (sent == 0) {
            return state;
        }
        PVector<News> news = state.news();
        List<News> again = new ArrayList<>();
        for (int i = 0; i < sent; i++) {
            News told = news.get(i);
            if (told.sends() > 1) {
                again.add(new News(told.member(), told.sends() - 1));
            }
        }
        // Told news go behind the untold, so that a flood of changes is told in turn.
        return state.withNews(news.minusAll(news.subList(0, sent)).plusAll(again));
    }
}
