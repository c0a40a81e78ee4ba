package org.heatherhaven.core.logic.placement;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.logic.quota.ShareOwners;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.Team;

/**
 * Each share belongs to a member chosen by rendezvous hashing; a share's number is made from its owner's address.
 *
 * @param placement owners of the shares of all teams that are asked about
 * @param self this process
 * @param trusted false once this node may have missed changes for so long that others count without it
 */
public record PlacedShares(PlacementState placement, Owner self, boolean trusted) implements ShareOwners {

    private static final long TERM = 1;

    private Optional<TeamShares> sharesOf(String team) {
        return Optional.ofNullable(placement.byTeam().get(team));
    }

    @Override
    public List<LeaseId> shares(Team team) {
        return sharesOf(team.name()).map(TeamShares::asked).orElse(List.of());
    }

    @Override
    public Team divided(Team team) {
        return sharesOf(team.name()).map(TeamShares::divided).orElse(team);
    }

    @Override
    public Optional<NodeId> ownerOf(LeaseId share) {
        return sharesOf(share.name()).map(shares -> shares.owners().get(share));
    }

    /** Nobody lent the share's tokens since then, so that they have gathered, wherever the first call enters. */
    private Instant usableSince() {
        return placement.since().isAfter(placement.lendsFrom()) ? placement.since() : placement.lendsFrom();
    }

    @Override
    public Optional<Leave> leave(LeaseId share, Instant now) {
        boolean mine = ownerOf(share).filter(self.node()::equals).isPresent();
        return mine && trusted && !now.isBefore(placement.lendsFrom())
                ? Optional.of(new Leave(TERM, false, usableSince()))
                : Optional.empty();
    }
}
