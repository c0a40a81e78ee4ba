package org.heatherhaven.core.logic.membership;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.MemberStatus;
import org.heatherhaven.core.model.NodeId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePMap;
import org.pcollections.TreePVector;

/**
 * The member table of this node, and its failure detection and gossip in progress.
 *
 * @param self this node's own entry
 * @param members all known members by address, this node and dead members included
 * @param nodesByService addresses of the members by the service of their target, without dead members and those that
 *     left
 * @param neighbours members that this node probes; the first is its platform watcher unless it is one itself
 * @param neighboursStale true if the neighbours must be chosen again before the next probes
 * @param changes membership changes still to be sent, oldest first
 * @param pendingProbes unanswered probes by sequence number, at most one for each target
 * @param suspicionExpiry when each suspected member is declared dead
 * @param nextProbeSeq sequence number of the next probe
 * @param nextProbeAt when the next round of probes is due
 * @param nextFullRoundAt when neighbours in other zones are probed next even if there are no changes for them
 * @param nextAntiEntropyAt when the next anti-entropy run is due
 * @param lastContactAt when a probe or a response to one was last received; before the first, the start of the node
 */
public record MembershipState(
        Member self,
        TreePMap<NodeId, Member> members,
        PMap<String, PVector<NodeId>> nodesByService,
        List<NodeId> neighbours,
        boolean neighboursStale,
        PVector<MembershipChange> changes,
        PMap<Long, PendingProbe> pendingProbes,
        PMap<NodeId, Instant> suspicionExpiry,
        long nextProbeSeq,
        Instant nextProbeAt,
        Instant nextFullRoundAt,
        Instant nextAntiEntropyAt,
        Instant lastContactAt) {

    /**
     * Creates the state of a node that has no other member yet.
     *
     * @param self this node's own entry
     * @param now time of the node's start
     * @return the state
     */
    public static MembershipState start(Member self, Instant now) {
        MembershipState empty = new MembershipState(
                self,
                TreePMap.empty(),
                HashTreePMap.empty(),
                List.of(),
                true,
                TreePVector.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                1,
                now,
                now,
                now,
                now);
        return empty.withMember(self);
    }

    /**
     * Finds a member.
     *
     * @param id its address
     * @return the member whatever its status, empty if the address is unknown
     */
    public Optional<Member> find(NodeId id) {
        return Optional.ofNullable(members.get(id));
    }

    /**
     * Returns the nodes beside the targets of a service.
     *
     * @param service the service
     * @return their addresses, draining and suspected nodes included, without dead nodes and those that left
     */
    public PVector<NodeId> nodesOfService(String service) {
        return nodesByService.getOrDefault(service, TreePVector.empty());
    }

    /**
     * Checks whether there are membership changes still to be sent.
     *
     * @return true if the next probes contain changes
     */
    public boolean hasChanges() {
        return !changes.isEmpty();
    }

    /** Adds or replaces the entry of a member, and updates what is derived from the members. */
    MembershipState withMember(Member member) {
        PMap<String, PVector<NodeId>> byService = nodesByService;
        Member known = members.get(member.id());
        if (known != null && !known.service().equals(member.service())) {
            byService = byService.plus(
                    known.service(), nodesOfService(known.service()).minus(member.id()));
        }
        PVector<NodeId> ofSameService = byService.getOrDefault(member.service(), TreePVector.empty());
        boolean indexed = ofSameService.contains(member.id());
        if (member.status().departed() && indexed) {
            byService = byService.plus(member.service(), ofSameService.minus(member.id()));
        } else if (!member.status().departed() && !indexed) {
            byService = byService.plus(member.service(), ofSameService.plus(member.id()));
        }
        boolean ringsChanged =
                known == null || known.status().departed() != member.status().departed();
        Member ownEntry = member.id().equals(self.id()) ? member : self;
        return new MembershipState(
                ownEntry,
                members.plus(member.id(), member),
                byService,
                neighbours,
                neighboursStale || ringsChanged,
                changes,
                pendingProbes,
                member.status() == MemberStatus.SUSPECT ? suspicionExpiry : suspicionExpiry.minus(member.id()),
                nextProbeSeq,
                nextProbeAt,
                nextFullRoundAt,
                nextAntiEntropyAt,
                lastContactAt);
    }

    MembershipState withNeighbours(List<NodeId> next) {
        return new MembershipState(
                self,
                members,
                nodesByService,
                next,
                false,
                changes,
                pendingProbes,
                suspicionExpiry,
                nextProbeSeq,
                nextProbeAt,
                nextFullRoundAt,
                nextAntiEntropyAt,
                lastContactAt);
    }

    MembershipState withChanges(PVector<MembershipChange> next) {
        return new MembershipState(
                self,
                members,
                nodesByService,
                neighbours,
                neighboursStale,
                next,
                pendingProbes,
                suspicionExpiry,
                nextProbeSeq,
                nextProbeAt,
                nextFullRoundAt,
                nextAntiEntropyAt,
                lastContactAt);
    }

    MembershipState withPendingProbes(PMap<Long, PendingProbe> next, long seq) {
        return new MembershipState(
                self,
                members,
                nodesByService,
                neighbours,
                neighboursStale,
                changes,
                next,
                suspicionExpiry,
                seq,
                nextProbeAt,
                nextFullRoundAt,
                nextAntiEntropyAt,
                lastContactAt);
    }

    MembershipState withSuspicionExpiry(PMap<NodeId, Instant> next) {
        return new MembershipState(
                self,
                members,
                nodesByService,
                neighbours,
                neighboursStale,
                changes,
                pendingProbes,
                next,
                nextProbeSeq,
                nextProbeAt,
                nextFullRoundAt,
                nextAntiEntropyAt,
                lastContactAt);
    }

    MembershipState withNextProbeAt(Instant at, Instant fullRoundAt) {
        return new MembershipState(
                self,
                members,
                nodesByService,
                neighbours,
                neighboursStale,
                changes,
                pendingProbes,
                suspicionExpiry,
                nextProbeSeq,
                at,
                fullRoundAt,
                nextAntiEntropyAt,
                lastContactAt);
    }

    MembershipState withNextAntiEntropyAt(Instant at) {
        return new MembershipState(
                self,
                members,
                nodesByService,
                neighbours,
                neighboursStale,
                changes,
                pendingProbes,
                suspicionExpiry,
                nextProbeSeq,
                nextProbeAt,
                nextFullRoundAt,
                at,
                lastContactAt);
    }

    /**
     * Records that a message was received from a peer.
     *
     * @param at time of receipt
     * @return the new state
     */
    public MembershipState withLastContactAt(Instant at) {
        return new MembershipState(
                self,
                members,
                nodesByService,
                neighbours,
                neighboursStale,
                changes,
                pendingProbes,
                suspicionExpiry,
                nextProbeSeq,
                nextProbeAt,
                nextFullRoundAt,
                nextAntiEntropyAt,
                at);
    }

    MembershipState withoutMember(NodeId id) {
        return new MembershipState(
                self,
                members.minus(id),
                nodesByService,
                neighbours,
                neighboursStale,
                changes,
                pendingProbes,
                suspicionExpiry.minus(id),
                nextProbeSeq,
                nextProbeAt,
                nextFullRoundAt,
                nextAntiEntropyAt,
                lastContactAt);
    }
}
