package org.heatherhaven.core.logic.placement;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.logic.quota.ShareOwners;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.RightId;
import org.heatherhaven.core.model.Team;

/**
 * Each share belongs to a member chosen by rendezvous hashing; a share's number is made from its owner's address.
 *
 * @param placement owners of the shares of all teams that are asked about
 * @param self this process
 * @param connected false once this node may have missed changes for so long that others count without it
 */
public record PlacedShares(PlacementState placement, Owner self, boolean connected) implements ShareOwners {

    private static final long TERM = 1;

    private Optional<TeamShares> sharesOf(String team) {
        return Optional.ofNullable(placement.sharesByTeam().get(team));
    }

    @Override
    public List<RightId> shares(Team team) {
        return sharesOf(team.name()).map(TeamShares::requestOrder).orElse(List.of());
    }

    @Override
    public Team withEffectiveShares(Team team) {
        return sharesOf(team.name()).map(TeamShares::effectiveTeam).orElse(team);
    }

    @Override
    public Optional<NodeId> ownerOf(RightId share) {
        return sharesOf(share.name()).map(shares -> shares.owners().get(share));
    }

    /** Nobody lent the share's tokens since then, so that they have gathered, wherever the first call enters. */
    private Instant accruesSince() {
        return placement.lendersSince().isAfter(placement.lendsFrom())
                ? placement.lendersSince()
                : placement.lendsFrom();
    }

    @Override
    public Optional<LendingPermission> lendingPermission(RightId share, Instant now) {
        boolean mine = ownerOf(share).filter(self.node()::equals).isPresent();
        return mine && connected && !now.isBefore(placement.lendsFrom())
                ? Optional.of(new LendingPermission(TERM, false, accruesSince()))
                : Optional.empty();
    }
}
