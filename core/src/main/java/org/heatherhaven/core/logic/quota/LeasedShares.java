package org.heatherhaven.core.logic.quota;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.logic.Hashes;
import org.heatherhaven.core.logic.membership.MembershipState;
import org.heatherhaven.core.logic.rights.Acquisition;
import org.heatherhaven.core.logic.rights.RightsLogic;
import org.heatherhaven.core.logic.rights.RightsState;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.Team;

/**
 * Each share is an exclusive right with a holder and a standby; their number is part of the policy.
 *
 * @param rights rights of this process
 * @param fleet the members
 */
public record LeasedShares(RightsState rights, MembershipState fleet) implements ShareOwners {

    @Override
    public Owner self() {
        return rights.self();
    }

    /** Each node starts at a share of its own, so that the shares of a large team are asked evenly. */
    @Override
    public List<LeaseId> shares(Team team) {
        int start = Hashes.bucket(rights.self().node() + "|" + team.name(), team.shares());
        List<LeaseId> shares = new ArrayList<>();
        for (int i = 0; i < team.shares(); i++) {
            shares.add(new LeaseId(LeaseId.Kind.SHARE, team.name(), (start + i) % team.shares()));
        }
        return shares;
    }

    @Override
    public Team divided(Team team) {
        return team;
    }

    @Override
    public Optional<NodeId> ownerOf(LeaseId share) {
        return RightsLogic.whereIs(rights, share, fleet);
    }

    @Override
    public Optional<Leave> leave(LeaseId share, Instant now) {
        if (!rights.usable(share, now)) {
            return Optional.empty();
        }
        return rights.find(share)
                .map(held -> new Leave(held.term().orElseThrow(), held.takenBy() == Acquisition.CREATED, now));
    }
}
