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
 * Reducer of the membership state: failure detection, gossip of membership changes, anti-entropy.
 *
 * <p>Each member is probed by its predecessor in every ring of {@link Rings}. If a probe stays unanswered, two other
 * members are requested to probe the target as well. If that fails too, the member is suspected. It can refute the
 * suspicion; otherwise it is declared dead after {@link #DEAD_AFTER}.
 */
public final class MembershipLogic {

    /** Time between two rounds of probes to the neighbours while there are no membership changes to send. */
    public static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);

    /** Time between two rounds of probes while there are membership changes to send. */
    static final Duration PROBE_INTERVAL_WITH_CHANGES = Duration.ofMillis(200);

    /**
     * Age of an unanswered probe from which the platform watcher is not relied on. It is shorter than {@link
     * #SUSPECT_AFTER}, so that this node reads the platform itself before the watcher is suspected.
     */
    private static final Duration WATCHER_RESPONSE_LIMIT = Duration.ofMillis(400);

    /** Age of an unanswered probe at which other members are requested to probe the target. */
    private static final Duration RELAY_AFTER = Duration.ofMillis(500);

    /** Age of an unanswered probe at which its target is suspected. */
    private static final Duration SUSPECT_AFTER = Duration.ofMillis(1_200);

    /** Time that a suspected member has to refute the suspicion before it is declared dead. */
    private static final Duration DEAD_AFTER = Duration.ofSeconds(2);

    private static final Duration MIN_ANTI_ENTROPY_INTERVAL = Duration.ofSeconds(2);
    private static final Duration MAX_ANTI_ENTROPY_INTERVAL = Duration.ofSeconds(60);

    /** Anti-entropy interval for each member of the table, between the minimum and the maximum. */
    private static final Duration ANTI_ENTROPY_INTERVAL_PER_MEMBER = Duration.ofMillis(60);

    /** Time between two listings of the members on the platform while no other member is known to be alive. */
    private static final Duration MEMBER_LIST_INTERVAL = Duration.ofSeconds(2);

    /** Number of other members that are requested to probe an unresponsive one. */
    private static final int RELAYS_PER_PROBE = 2;

    private static final int MAX_CHANGES_PER_MESSAGE = 32;

    /**
     * Rounds of probes that contain a change. The first goes to all neighbours, the second only to those in this node's
     * zone, to make up for a lost message. Anti-entropy repairs what is missed even then.
     */
    private static final int ROUNDS_PER_CHANGE = 2;

    private MembershipLogic() {}

    /**
     * Advances the membership to the current time: expires suspicions, checks unanswered probes, and sends the probes
     * and anti-entropy requests that are due.
     *
     * @param state the current state
     * @param gossip gossip for the probes; this method adds the membership changes
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static MembershipState tick(MembershipState state, GossipUpdate gossip, Instant now, Outbox out) {
        MembershipState next = expireSuspects(state, now, out);
        next = checkPendingProbes(next, now, out);
        if (!now.isBefore(next.nextProbeAt())) {
            next = probeNeighbours(next, gossip, now, out);
        }
        if (!now.isBefore(next.nextAntiEntropyAt())) {
            next = runAntiEntropy(next, gossip, now, out);
        }
        return next;
    }

    /** Sends a round of probes; neighbours in other zones get one only if they are due or there are unsent changes. */
    private static MembershipState probeNeighbours(
            MembershipState state, GossipUpdate gossip, Instant now, Outbox out) {
        MembershipState next = state;
        if (state.neighboursStale()) {
            next = next.withNeighbours(
                    Rings.chooseNeighbours(state.self(), state.members().values()));
        }
        GossipUpdate allChanges = addChanges(next, gossip);
        GossipUpdate unsentChanges = addChanges(next, gossip, ROUNDS_PER_CHANGE);
        boolean fullRound = !now.isBefore(state.nextFullRoundAt())
                || !unsentChanges.members().isEmpty();
        for (NodeId neighbour : next.neighbours()) {
            boolean sameZone = inOwnZone(next, neighbour);
            if (sameZone || fullRound) {
                next = probe(next, neighbour, sameZone ? allChanges : unsentChanges, now, out);
            }
        }
        next = next.neighbours().isEmpty()
                ? next
                : countRound(next, allChanges.members().size());
        Duration interval = next.changes().isEmpty() ? PROBE_INTERVAL : PROBE_INTERVAL_WITH_CHANGES;
        return next.withNextProbeAt(now.plus(interval), fullRound ? now.plus(PROBE_INTERVAL) : state.nextFullRoundAt());
    }

    private static boolean inOwnZone(MembershipState state, NodeId other) {
        return state.find(other)
                .filter(member -> member.zone().equals(state.self().zone()))
                .isPresent();
    }

    private static MembershipState probe(
            MembershipState state, NodeId target, GossipUpdate gossip, Instant now, Outbox out) {
        long seq = state.nextProbeSeq();
        out.add(new Effect.Send(target, new Probe(state.self(), seq, gossip)));
        boolean alreadyPending = state.pendingProbes().values().stream()
                .anyMatch(pending -> pending.target().equals(target));
        PMap<Long, PendingProbe> pending = alreadyPending
                ? state.pendingProbes()
                : state.pendingProbes().plus(seq, new PendingProbe(target, now, false));
        return state.withPendingProbes(pending, seq + 1);
    }

    private static MembershipState checkPendingProbes(MembershipState state, Instant now, Outbox out) {
        MembershipState next = state;
        for (Map.Entry<Long, PendingProbe> entry : state.pendingProbes().entrySet()) {
            PendingProbe probe = entry.getValue();
            Duration age = Duration.between(probe.sentAt(), now);
            if (age.compareTo(SUSPECT_AFTER) >= 0) {
                next = suspect(
                        next.withPendingProbes(next.pendingProbes().minus(entry.getKey()), next.nextProbeSeq()),
                        probe,
                        now);
            } else if (!probe.relayed() && age.compareTo(RELAY_AFTER) >= 0) {
                requestRelayedProbes(next, probe, entry.getKey(), out);
                PendingProbe relayed = new PendingProbe(probe.target(), probe.sentAt(), true);
                next = next.withPendingProbes(next.pendingProbes().plus(entry.getKey(), relayed), next.nextProbeSeq());
            }
        }
        return next;
    }

    private static void requestRelayedProbes(MembershipState state, PendingProbe probe, long seq, Outbox out) {
        state.neighbours().stream()
                .filter(id -> !id.equals(probe.target()))
                .limit(RELAYS_PER_PROBE)
                .forEach(id -> out.add(new Effect.Send(id, new ProbeRequest(state.self(), probe.target(), seq))));
    }

    private static MembershipState suspect(MembershipState state, PendingProbe probe, Instant now) {
        Optional<Member> member = state.find(probe.target());
        if (member.isEmpty() || member.get().status().departed() || member.get().status() == MemberStatus.SUSPECT) {
            return state;
        }
        return mergeAndEnqueue(state, member.get().withStatus(MemberStatus.SUSPECT), now);
    }

    private static MembershipState expireSuspects(MembershipState state, Instant now, Outbox out) {
        MembershipState next = state;
        for (Map.Entry<NodeId, Instant> entry : state.suspicionExpiry().entrySet()) {
            if (now.isBefore(entry.getValue())) {
                continue;
            }
            next = next.withSuspicionExpiry(next.suspicionExpiry().minus(entry.getKey()));
            Optional<Member> member = next.find(entry.getKey());
            if (member.isPresent() && member.get().status() == MemberStatus.SUSPECT) {
                Member dead = member.get().withStatus(MemberStatus.DEAD);
                next = mergeAndEnqueue(next, dead, now);
                // Every node with this suspicion declares the member dead. Only its predecessor in the last ring, which
                // crosses all zones, removes its announcement from the platform.
                if (next.neighbours().indexOf(dead.id()) == next.neighbours().size() - 1) {
                    out.add(new Effect.RemoveAnnouncement(dead.owner()));
                }
            }
        }
        return next;
    }

    /**
     * Repairs what gossip has missed: pulls from a random member, and probes a random dead member, so that the two
     * sides of a healed network partition discover each other. Lists the members on the platform if no other member is
     * alive.
     */
    private static MembershipState runAntiEntropy(MembershipState state, GossipUpdate gossip, Instant now, Outbox out) {
        List<Member> dead = state.members().values().stream()
                .filter(member -> member.status() == MemberStatus.DEAD)
                .toList();
        boolean alone = state.members().size() - dead.size() <= 1;
        if (alone) {
            out.add(new Effect.ListMembers(false));
        }
        if (!dead.isEmpty()) {
            int pick = new SplittableRandom(state.nextProbeSeq()).nextInt(dead.size());
            NodeId target = dead.get(pick).id();
            out.add(new Effect.Send(target, new Probe(state.self(), state.nextProbeSeq(), addChanges(state, gossip))));
        }
        MemberTableSync.pullFromRandomMember(state, out);
        return state.withPendingProbes(state.pendingProbes(), state.nextProbeSeq() + 1)
                .withNextAntiEntropyAt(now.plus(alone ? MEMBER_LIST_INTERVAL : antiEntropyInterval(state, now)));
    }

    /**
     * Returns the time to the next anti-entropy run: the minimum in a small fleet and in the first {@link
     * #MAX_ANTI_ENTROPY_INTERVAL} of this process, otherwise in proportion to the number of members. In a large fleet
     * only one page of the table a minute is affordable.
     */
    private static Duration antiEntropyInterval(MembershipState state, Instant now) {
        Duration age = Duration.between(Instant.ofEpochMilli(state.self().epoch()), now);
        Duration bySize =
                ANTI_ENTROPY_INTERVAL_PER_MEMBER.multipliedBy(state.members().size());
        boolean frequent =
                age.compareTo(MAX_ANTI_ENTROPY_INTERVAL) < 0 || bySize.compareTo(MIN_ANTI_ENTROPY_INTERVAL) < 0;
        if (frequent) {
            return MIN_ANTI_ENTROPY_INTERVAL;
        }
        return bySize.compareTo(MAX_ANTI_ENTROPY_INTERVAL) > 0 ? MAX_ANTI_ENTROPY_INTERVAL : bySize;
    }

    /**
     * Answers a probe.
     *
     * @param state the current state
     * @param probe the probe
     * @param gossip gossip for the response; its members are replaced
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static MembershipState handleProbe(
            MembershipState state, Probe probe, GossipUpdate gossip, Instant now, Outbox out) {
        MembershipState next = mergeGossip(state, probe.from(), probe.gossip(), now);
        // A sender that is suspected or dead in this node's table must be sent that status; otherwise it can't refute
        // it.
        Optional<Member> newer = state.find(probe.from().id()).filter(known -> known.supersedes(probe.from()));
        GossipUpdate reply = new GossipUpdate(
                newer.map(List::of).orElse(List.of()), gossip.policyVersion(), gossip.confirmedAgoMillis());
        out.add(new Effect.Send(probe.replyTo(), new ProbeAck(next.self(), probe.seq(), reply)));
        return next;
    }

    /**
     * Probes a member on behalf of another; the response goes directly to the requester.
     *
     * @param state the current state
     * @param request the request
     * @param gossip gossip for the probe; its members are left out
     * @param out receives the effects
     */
    public static void handleProbeRequest(
            MembershipState state, ProbeRequest request, GossipUpdate gossip, Outbox out) {
        GossipUpdate withoutMembers = new GossipUpdate(List.of(), gossip.policyVersion(), gossip.confirmedAgoMillis());
        out.add(new Effect.Send(request.target(), new Probe(request.from(), request.seq(), withoutMembers)));
    }

    /**
     * Handles the response to a probe: merges its gossip and removes all pending probes of the sender.
     *
     * @param state the current state
     * @param ack the response
     * @param now current time
     * @return the new state
     */
    public static MembershipState handleProbeAck(MembershipState state, ProbeAck ack, Instant now) {
        MembershipState next = mergeGossip(state, ack.from(), ack.gossip(), now);
        PMap<Long, PendingProbe> pending = next.pendingProbes();
        for (Map.Entry<Long, PendingProbe> entry : next.pendingProbes().entrySet()) {
            if (entry.getValue().target().equals(ack.from().id())) {
                pending = pending.minus(entry.getKey());
            }
        }
        return next.withPendingProbes(pending, next.nextProbeSeq());
    }

    /**
     * Returns when the probe of a response was sent. Ages in the response are counted from this time, since the
     * response was written later: they can then only be overestimated.
     *
     * @param state the current state
     * @param ack the response
     * @return time at which the probe was sent, empty if no such probe is pending
     */
    public static Optional<Instant> probeSentAt(MembershipState state, ProbeAck ack) {
        return Optional.ofNullable(state.pendingProbes().get(ack.seq())).map(PendingProbe::sentAt);
    }

    /**
     * Checks whether the neighbour that watches the platform for this node has left a probe unanswered for too long.
     * For a node that doesn't watch the platform itself this is the first neighbour.
     *
     * @param state the current state
     * @param now current time
     * @return true if there is no neighbour, or its probe is older than {@link #WATCHER_RESPONSE_LIMIT}
     */
    public static boolean watcherUnresponsive(MembershipState state, Instant now) {
        if (state.neighbours().isEmpty()) {
            return true;
        }
        NodeId watcher = state.neighbours().get(0);
        return state.pendingProbes().values().stream()
                .anyMatch(probe -> probe.target().equals(watcher)
                        && Duration.between(probe.sentAt(), now).compareTo(WATCHER_RESPONSE_LIMIT) > 0);
    }

    private static MembershipState mergeGossip(MembershipState state, Member from, GossipUpdate gossip, Instant now) {
        MembershipState next = mergeAndEnqueue(state, from, now).withLastContactAt(now);
        for (Member member : gossip.members()) {
            next = mergeAndEnqueue(next, member, now);
        }
        return next;
    }

    /**
     * Changes this node's own status and sends it to the neighbours immediately.
     *
     * @param state the current state
     * @param status the new status
     * @param gossip gossip for the probes; this method adds the membership changes
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static MembershipState announceStatus(
            MembershipState state, MemberStatus status, GossipUpdate gossip, Instant now, Outbox out) {
        Member self = state.self().withRefutation(state.self().refutation() + 1, status);
        return probeNeighbours(enqueueChange(state.withMember(self), self), gossip, now, out);
    }

    /**
     * Sends gossip to the neighbours immediately instead of with the next round of probes.
     *
     * @param state the current state
     * @param gossip the gossip; this method adds the membership changes
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static MembershipState probeNeighboursNow(
            MembershipState state, GossipUpdate gossip, Instant now, Outbox out) {
        return probeNeighbours(state, gossip, now, out);
    }

    /**
     * Changes the service and slots of this node's target and sends the change to the neighbours immediately.
     *
     * @param state the current state
     * @param service service of the node's target, empty while it has none
     * @param slots number of calls that the target runs concurrently
     * @param gossip gossip for the probes; this method adds the membership changes
     * @param now current time
     * @param out receives the effects
     * @return the new state, the same one if nothing changed
     */
    public static MembershipState announceTarget(
            MembershipState state, String service, int slots, GossipUpdate gossip, Instant now, Outbox out) {
        Member self = state.self();
        if (self.service().equals(service) && self.slots() == slots) {
            return state;
        }
        Member changed = self.withTarget(service, slots);
        return probeNeighbours(enqueueChange(state.withMember(changed), changed), gossip, now, out);
    }

    /** Merges an update about a member and, if it is new, queues it for gossip. */
    static MembershipState mergeAndEnqueue(MembershipState state, Member update, Instant now) {
        MembershipState next = merge(state, update, now);
        boolean aboutSelf = update.id().equals(state.self().id());
        return next == state || aboutSelf ? next : enqueueChange(next, update);
    }

    /** Merges an update about a member that other nodes have already received; it isn't queued for gossip. */
    static MembershipState merge(MembershipState state, Member update, Instant now) {
        if (update.id().equals(state.self().id())) {
            return mergeAboutSelf(state, update);
        }
        Optional<Member> known = state.find(update.id());
        if (known.isPresent() && !update.supersedes(known.get())) {
            return state;
        }
        MembershipState next = state.withMember(update);
        if (update.status() == MemberStatus.SUSPECT) {
            return next.withSuspicionExpiry(next.suspicionExpiry().plus(update.id(), now.plus(DEAD_AFTER)));
        }
        return next;
    }

    /** Refutes an update about this node that supersedes its own entry, instead of adopting it. */
    private static MembershipState mergeAboutSelf(MembershipState state, Member update) {
        Member self = state.self();
        if (update.epoch() > self.epoch()) {
            // The clock was behind when this process started, so that its epoch is lower than that of an earlier
            // process at this address. Other nodes would discard its updates unless it uses a higher epoch.
            Member later = self.withEpoch(update.epoch() + 1);
            return enqueueChange(state.withMember(later), later);
        }
        if (update.epoch() != self.epoch() || !update.supersedes(self)) {
            return state;
        }
        Member refuted = self.withRefutation(update.refutation() + 1, self.status());
        return enqueueChange(state.withMember(refuted), refuted);
    }

    /** Queues a change for gossip, in place of a queued older change of the same member. */
    private static MembershipState enqueueChange(MembershipState state, Member member) {
        PVector<MembershipChange> changes = state.changes();
        for (int i = 0; i < changes.size(); i++) {
            if (changes.get(i).member().id().equals(member.id())) {
                changes = changes.minus(i);
                break;
            }
        }
        return state.withChanges(changes.plus(new MembershipChange(member, ROUNDS_PER_CHANGE)));
    }

    /** Returns gossip with the oldest changes, as many as fit into a message. */
    private static GossipUpdate addChanges(MembershipState state, GossipUpdate gossip) {
        return addChanges(state, gossip, 1);
    }

    /**
     * Returns gossip with those of the oldest {@link #MAX_CHANGES_PER_MESSAGE} changes that have at least this many
     * rounds left.
     */
    private static GossipUpdate addChanges(MembershipState state, GossipUpdate gossip, int rounds) {
        List<Member> members = state.changes().stream()
                .limit(MAX_CHANGES_PER_MESSAGE)
                .filter(change -> change.remainingRounds() >= rounds)
                .map(MembershipChange::member)
                .toList();
        return new GossipUpdate(members, gossip.policyVersion(), gossip.confirmedAgoMillis());
    }

    /** Deducts one round from the oldest changes, and removes those without a remaining round. */
    private static MembershipState countRound(MembershipState state, int sent) {
        if (sent == 0) {
            return state;
        }
        PVector<MembershipChange> changes = state.changes();
        List<MembershipChange> repeated = new ArrayList<>();
        for (int i = 0; i < sent; i++) {
            MembershipChange change = changes.get(i);
            if (change.remainingRounds() > 1) {
                repeated.add(new MembershipChange(change.member(), change.remainingRounds() - 1));
            }
        }
        // Changes with a remaining round go to the end of the queue, so that none has to wait for the repetition of
        // others when there are more than fit into a message.
        return state.withChanges(changes.minusAll(changes.subList(0, sent)).plusAll(repeated));
    }
}
