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
 * Shares owned by members that rendezvous hashing chooses; the number of a share is a hash of its owner's address.
 *
 * @param placement computed shares of the teams
 * @param self this process
 * @param connected false if this node may have been cut off for so long that other nodes have reassigned its shares
 */
public record PlacedShares(PlacementState placement, Owner self, boolean connected) implements ShareOwners {

    /**
     * Term of every permission: a bucket is closed once this node no longer owns its share, so terms need not differ.
     */
    private static final long TERM = 1;

    private Optional<TeamShares> sharesOf(String team) {
        return Optional.ofNullable(placement.sharesByTeam().get(team));
    }

    @Override
    public List<LeaseId> shares(Team team) {
        return sharesOf(team.name()).map(TeamShares::requestOrder).orElse(List.of());
    }

    @Override
    public Team withEffectiveShares(Team team) {
        return sharesOf(team.name()).map(TeamShares::effectiveTeam).orElse(team);
    }

    @Override
    public Optional<NodeId> ownerOf(LeaseId share) {
        return sharesOf(share.name()).map(shares -> shares.owners().get(share));
    }

    /**
     * Returns the time since which nobody has lent tokens of the share, so that its tokens have accrued from then on.
     */
    private Instant accruesSince() {
        return placement.lendersSince().isAfter(placement.lendsFrom())
                ? placement.lendersSince()
                : placement.lendsFrom();
    }

    @Override
    public Optional<LendingPermission> lendingPermission(LeaseId share, Instant now) {
        boolean ownedHere = ownerOf(share).filter(self.node()::equals).isPresent();
        return ownedHere && connected && !now.isBefore(placement.lendsFrom())
                ? Optional.of(new LendingPermission(TERM, false, accruesSince()))
                : Optional.empty();
    }
}
