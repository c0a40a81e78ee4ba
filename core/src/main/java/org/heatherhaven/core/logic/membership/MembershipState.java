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
 * @param services addresses of members by service
 * @param neighbours members that this node probes
 * @param neighboursStale true if the neighbours must be chosen anew
 * @param news changes still to be told
 * @param pending probes without an answer
 * @param suspects when a suspect is declared dead
 * @param nextSeq number of the next probe
 * @param nextProbeAt when neighbours are probed next
 * @param nextFullRoundAt when neighbours are probed again that get no news from here
 * @param nextRejoinAt when a dead member is tried next
 * @param heardAt when a peer or the platform was last heard
 */
public record MembershipState(
        Member self,
        TreePMap<NodeId, Member> members,
        PMap<String, PVector<NodeId>> services,
        List<NodeId> neighbours,
        boolean neighboursStale,
        PVector<News> news,
        PMap<Long, PendingProbe> pending,
        PMap<NodeId, Instant> suspects,
        long nextSeq,
        Instant nextProbeAt,
        Instant nextFullRoundAt,
        Instant nextRejoinAt,
        Instant heardAt) {

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
    public PVector<NodeId> ofService(String service) {
        return services.getOrDefault(service, TreePVector.empty());
    }

    /**
     * Tells whether changes wait to be told.
     *
     * @return true if probes carry news
     */
    public boolean hasNews() {
        return !news.isEmpty();
    }

    MembershipState withMember(Member member) {
        PMap<String, PVector<NodeId>> index = services;
        Member known = members.get(member.id());
        if (known != null && !known.service().equals(member.service())) {
            index = index.plus(known.service(), ofService(known.service()).minus(member.id()));
        }
        PVector<NodeId> peers = index.getOrDefault(member.service(), TreePVector.empty());
        boolean listed = peers.contains(member.id());
        if (member.status().departed() && listed) {
            index = index.plus(member.service(), peers.minus(member.id()));
        } else if (!member.status().departed() && !listed) {
            index = index.plus(member.service(), peers.plus(member.id()));
        }
        boolean ringChanged =
                known == null || known.status().departed() != member.status().departed();
        Member me = member.id().equals(self.id()) ? member : self;
        return new MembershipState(
                me,
                members.plus(member.id(), member),
                index,
                neighbours,
                neighboursStale || ringChanged,
                news,
                pending,
                member.status() == MemberStatus.SUSPECT ? suspects : suspects.minus(member.id()),
                nextSeq,
                nextProbeAt,
                nextFullRoundAt,
                nextRejoinAt,
                heardAt);
    }

    MembershipState withNeighbours(List<NodeId> next) {
        return new MembershipState(
                self,
                members,
                services,
                next,
                false,
                news,
                pending,
                suspects,
                nextSeq,
                nextProbeAt,
                nextFullRoundAt,
                nextRejoinAt,
                heardAt);
    }

    MembershipState withNews(PVector<News> next) {
        return new MembershipState(
                self,
                members,
                services,
                neighbours,
                neighboursStale,
                next,
                pending,
                suspects,
                nextSeq,
                nextProbeAt,
                nextFullRoundAt,
                nextRejoinAt,
                heardAt);
    }

    MembershipState withPending(PMap<Long, PendingProbe> next, long seq) {
        return new MembershipState(
                self,
                members,
                services,
                neighbours,
                neighboursStale,
                news,
                next,
                suspects,
                seq,
                nextProbeAt,
                nextFullRoundAt,
                nextRejoinAt,
                heardAt);
    }

    MembershipState withSuspects(PMap<NodeId, Instant> next) {
        return new MembershipState(
                self,
                members,
                services,
                neighbours,
                neighboursStale,
                news,
                pending,
                next,
                nextSeq,
                nextProbeAt,
                nextFullRoundAt,
                nextRejoinAt,
                heardAt);
    }

    MembershipState withNextProbeAt(Instant at, Instant fullRoundAt) {
        return new MembershipState(
                self,
                members,
                services,
                neighbours,
                neighboursStale,
                news,
                pending,
                suspects,
                nextSeq,
                at,
                fullRoundAt,
                nextRejoinAt,
                heardAt);
    }

    MembershipState withNextRejoinAt(Instant at) {
        return new MembershipState(
                self,
                members,
                services,
                neighbours,
                neighboursStale,
                news,
                pending,
                suspects,
                nextSeq,
                nextProbeAt,
                nextFullRoundAt,
                at,
                heardAt);
    }

    /**
     * Notes that a peer was heard.
     *
     * @param at when
     * @return the new state
     */
    public MembershipState withHeardAt(Instant at) {
        return new MembershipState(
                self,
                members,
                services,
                neighbours,
                neighboursStale,
                news,
                pending,
                suspects,
                nextSeq,
                nextProbeAt,
                nextFullRoundAt,
                nextRejoinAt,
                at);
    }

    MembershipState forgotten(NodeId id) {
        return new MembershipState(
                self,
                members.minus(id),
                services,
                neighbours,
                neighboursStale,
                news,
                pending,
                suspects.minus(id),
                nextSeq,
                nextProbeAt,
                nextFullRoundAt,
                nextRejoinAt,
                heardAt);
    }
}
