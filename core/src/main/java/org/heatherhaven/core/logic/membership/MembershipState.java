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
 * What this node knows of the fleet.
 *
 * @param self this node
 * @param members all known members, this node among them
 * @param nodesByService addresses of members by service
 * @param neighbours members that this node probes
 * @param neighboursStale true if the neighbours must be chosen anew
 * @param changes changes still to be told
 * @param pendingProbes probes without an answer
 * @param suspicionExpiry when a suspect is declared dead
 * @param nextProbeSeq number of the next probe
 * @param nextProbeAt when neighbours are probed next
 * @param nextFullRoundAt when neighbours are probed again that get no news from here
 * @param nextAntiEntropyAt when a dead member is tried next
 * @param lastContactAt when a peer or the platform was last heard
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
     * The state of a node that knows only itself.
     *
     * @param self this node
     * @param now start of the node
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
     * @return the member, if known
     */
    public Optional<Member> find(NodeId id) {
        return Optional.ofNullable(members.get(id));
    }

    /**
     * Members that guard a target of a service.
     *
     * @param service the service
     * @return their addresses, whatever their status
     */
    public PVector<NodeId> nodesOfService(String service) {
        return nodesByService.getOrDefault(service, TreePVector.empty());
    }

    /**
     * Tells whether changes wait to be told.
     *
     * @return true if probes carry news
     */
    public boolean hasChanges() {
        return !changes.isEmpty();
    }

    MembershipState withMember(Member member) {
        PMap<String, PVector<NodeId>> index = nodesByService;
        Member known = members.get(member.id());
        if (known != null && !known.service().equals(member.service())) {
            index = index.plus(known.service(), nodesOfService(known.service()).minus(member.id()));
        }
        PVector<NodeId> peers = index.getOrDefault(member.service(), TreePVector.empty());
        boolean listed = peers.contains(member.id());
        if (member.status().gone() && listed) {
            index = index.plus(member.service(), peers.minus(member.id()));
        } else if (!member.status().gone() && !listed) {
            index = index.plus(member.service(), peers.plus(member.id()));
        }
        boolean ringChanged =
                known == null || known.status().gone() != member.status().gone();
        Member me = member.id().equals(self.id()) ? member : self;
        return new MembershipState(
                me,
                members.plus(member.id(), member),
                index,
                neighbours,
                neighboursStale || ringChanged,
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
     * Notes that a peer was heard.
     *
     * @param at when
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
