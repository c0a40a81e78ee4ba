package org.heatherhaven.core.logic.placement;

import java.time.Instant;
import java.util.List;

import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Zone;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/**
 * The members that own shares.
 *
 * @param members the members from which all this was worked out
 * @param deadSince since when members are held for dead
 * @param reviewAt when a dead member loses its shares next; far future if there is none
 * @param lenders members that own shares, in order of their addresses
 * @param sharesByTeam shares of each team
 * @param lendersSince when the members that own shares last changed
 * @param lendsFrom when this process may lend out its own shares
 */
public record PlacementState(
        TreePMap<NodeId, Member> members,
        PMap<NodeId, Instant> deadSince,
        Instant reviewAt,
        List<Lender> lenders,
        PMap<String, TeamShares> sharesByTeam,
        Instant lendersSince,
        Instant lendsFrom) {

    /**
     * What decides about the shares of a member; a change of anything else moves none.
     *
     * @param id the member
     * @param zone its zone
     * @param gone true if it is held for dead, and keeps its shares only until it can't lend any more
     */
    record Lender(NodeId id, Zone zone, boolean gone) {}

    /**
     * The state of a process that may have no shares yet.
     *
     * @param lendsFrom when it may lend out its own shares
     * @return the state
     */
    public static PlacementState start(Instant lendsFrom) {
        return new PlacementState(
                TreePMap.empty(),
                HashTreePMap.empty(),
                Instant.MIN,
                List.of(),
                HashTreePMap.empty(),
                lendsFrom,
                lendsFrom);
    }

    PlacementState withTeam(TeamShares shares) {
        return new PlacementState(
                members,
                deadSince,
                reviewAt,
                lenders,
                sharesByTeam.plus(shares.team().name(), shares),
                lendersSince,
                lendsFrom);
    }

    PlacementState withLendsFrom(Instant at) {
        return new PlacementState(members, deadSince, reviewAt, lenders, sharesByTeam, lendersSince, at);
    }
}
