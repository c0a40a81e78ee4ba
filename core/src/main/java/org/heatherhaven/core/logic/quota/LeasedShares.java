package org.heatherhaven.core.logic.quota;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.logic.Hashes;
import org.heatherhaven.core.logic.leases.Acquisition;
import org.heatherhaven.core.logic.leases.LeasesLogic;
import org.heatherhaven.core.logic.leases.LeasesState;
import org.heatherhaven.core.logic.membership.MembershipState;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.Team;

/**
 * Shares owned through exclusive leases with a holder and a standby; the number of shares is part of the policy.
 *
 * @param leases leases of this process
 * @param fleet current members
 */
public record LeasedShares(LeasesState leases, MembershipState fleet) implements ShareOwners {

    @Override
    public Owner self() {
        return leases.self();
    }

    /** Starts at a share that depends on the node, so that requests spread evenly over the shares of a large team. */
    @Override
    public List<LeaseId> shares(Team team) {
        int start = Hashes.bucket(leases.self().node() + "|" + team.name(), team.shares());
        List<LeaseId> shares = new ArrayList<>();
        for (int i = 0; i < team.shares(); i++) {
            shares.add(new LeaseId(LeaseId.Kind.SHARE, team.name(), (start + i) % team.shares()));
        }
        return shares;
    }

    @Override
    public Team withEffectiveShares(Team team) {
        return team;
    }

    @Override
    public Optional<NodeId> ownerOf(LeaseId share) {
        return LeasesLogic.locate(leases, share, fleet);
    }

    @Override
    public Optional<LendingPermission> lendingPermission(LeaseId share, Instant now) {
        if (!leases.usable(share, now)) {
            return Optional.empty();
        }
        return leases.find(share)
                .map(held -> new LendingPermission(
                        held.term().orElseThrow(), held.acquisition() == Acquisition.CREATED, now));
    }
}
