package org.heatherhaven.core.logic.leases;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.heatherhaven.core.logic.membership.MembershipState;
import org.heatherhaven.core.logic.membership.Rings;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.Zone;

/**
 * Chooses the members that create leases and stand by for them.
 *
 * <p>Nodes with the same member list make the same choice. Different choices are harmless, because the platform's store
 * decides who holds a lease.
 */
public final class LeasePlacement {

    private LeasePlacement() {}

    /**
     * Returns the home of a lease: the member that creates it when it is first needed, and that receives requests for
     * the lease while its holder is unknown.
     *
     * @param lease the lease
     * @param fleet current members
     * @return the home, empty if no member accepts work
     */
    public static Optional<NodeId> home(LeaseId lease, MembershipState fleet) {
        List<Member> eligible = fleet.members().values().stream()
                .filter(member -> member.status().acceptsCalls())
                .toList();
        return Rings.rendezvous("right|" + lease, eligible, 1).stream()
                .map(Member::id)
                .findFirst();
    }

    /**
     * Chooses a standby, preferably in another zone of this node's region: then neither the loss of a zone nor a
     * partition between regions separates or removes both holder and standby.
     */
    static Optional<Owner> chooseStandby(LeaseId lease, MembershipState fleet) {
        Zone home = fleet.self().zone();
        List<Member> eligible = fleet.members().values().stream()
                .filter(member -> member.status().acceptsCalls())
                .filter(member -> !member.id().equals(fleet.self().id()))
                .toList();
        List<Predicate<Member>> preferences = List.of(
                member -> member.zone().region().equals(home.region())
                        && !member.zone().equals(home),
                member -> !member.zone().equals(home),
                member -> true);
        for (Predicate<Member> preference : preferences) {
            List<Member> candidates = eligible.stream().filter(preference).toList();
            if (!candidates.isEmpty()) {
                return Rings.rendezvous("standby|" + lease, candidates, 1).stream()
                        .map(Member::owner)
                        .findFirst();
            }
        }
        return Optional.empty();
    }
}
