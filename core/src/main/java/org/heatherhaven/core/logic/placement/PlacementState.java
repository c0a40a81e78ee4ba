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
 * The members that own shares, and the shares computed from them.
 *
 * @param members the member list from which the lenders were computed
 * @param deadSince time at which each dead member was first seen as dead
 * @param reviewAt next time at which the lenders change without a change of members; {@link Instant#MAX} if there is
 *     none
 * @param lenders members among which the shares of teams are divided, in order of their addresses
 * @param sharesByTeam computed shares by name of the team
 * @param lendersSince when the lenders last changed
 * @param lendsFrom when this process may begin to lend tokens of its own shares
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
     * The properties of a member that determine its shares; other changes of the member move no shares.
     *
     * @param id the member
     * @param zone its zone
     * @param dead true if the member was declared dead; it remains an owner only until it can no longer lend, in case
     *     it is still running
     */
    record Lender(NodeId id, Zone zone, boolean dead) {}

    /**
     * Returns the state of a process before it has seen any members.
     *
     * @param lendsFrom when it may begin to lend tokens of its own shares
     * @return the initial state
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
