package org.heatherhaven.core.logic.placement;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.logic.Hashes;
import org.heatherhaven.core.logic.membership.MembershipState;
import org.heatherhaven.core.logic.quota.ShareOwners;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.RightId;
import org.heatherhaven.core.model.Team;
import org.heatherhaven.core.model.Zone;

/**
 * Each share belongs to a member chosen by rendezvous hashing; a share's number is made from its owner's address.
 *
 * @param placement owners of the shares of all teams that are asked about
 * @param self this process
 * @param fleet the members
 * @param trusted false once this node may have missed changes for so long that others count without it
 */
public record PlacedShares(PlacementState placement, Owner self, MembershipState fleet, boolean trusted)
        implements ShareOwners {

    /** Owners that one node asks for tokens; more would cost messages, and those who have none answer alike. */
    private static final int ASKED_OWNERS = 3;

    private static final long TERM = 1;

    private static RightId share(Team team, NodeId owner) {
        return new RightId(RightId.Kind.SHARE, team.name(), Hashes.bucket(owner.value(), Integer.MAX_VALUE));
    }

    private List<NodeId> owners(String team) {
        return placement.byTeam().getOrDefault(team, List.of());
    }

    /** Its own first, then those nearby. */
    @Override
    public List<RightId> shares(Team team) {
        return owners(team.name()).stream()
                .sorted(Comparator.comparingInt(this::distance)
                        .thenComparingLong(owner -> Hashes.of(self.node().value() + "|" + owner.value())))
                .limit(ASKED_OWNERS)
                .map(owner -> share(team, owner))
                .toList();
    }

    private int distance(NodeId owner) {
        if (owner.equals(self.node())) {
            return 0;
        }
        Zone home = fleet.self().zone();
        boolean near = fleet.find(owner).map(Member::zone).filter(home::equals).isPresent();
        boolean gone =
                fleet.find(owner).filter(member -> !member.status().gone()).isEmpty();
        return gone ? 3 : near ? 1 : 2;
    }

    @Override
    public Team divided(Team team) {
        int shares = Math.max(1, owners(team.name()).size());
        return new Team(team.name(), team.rate(), team.burst(), shares, team.importance());
    }

    @Override
    public Optional<NodeId> ownerOf(RightId share) {
        List<NodeId> found = new ArrayList<>();
        for (NodeId owner : owners(share.name())) {
            if (Hashes.bucket(owner.value(), Integer.MAX_VALUE) == share.index()) {
                found.add(owner);
            }
        }
        return found.stream().findFirst();
    }

    @Override
    public Optional<Leave> leave(RightId share, Instant now) {
        boolean mine = ownerOf(share).filter(self.node()::equals).isPresent();
        return mine && trusted && !now.isBefore(placement.lendsFrom())
                ? Optional.of(new Leave(TERM, false))
                : Optional.empty();
    }
}
