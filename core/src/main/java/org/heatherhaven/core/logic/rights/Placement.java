package org.heatherhaven.core.logic.rights;

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

/** Where rights live: guesses that most members make alike; no correctness hangs on them. */
public final class Placement {

    private Placement() {}

    /**
     * The member that creates a right when it is first needed, and knows where it went.
     *
     * @param right the right
     * @param fleet current members
     * @return the member, unless none is in service
     */
    public static Optional<NodeId> home(LeaseId right, MembershipState fleet) {
        List<Member> able = fleet.members().values().stream()
                .filter(member -> member.status().acceptsCalls())
                .toList();
        return Rings.rendezvous("right|" + right, able, 1).stream()
                .map(Member::id)
                .findFirst();
    }

    /** Another zone of the same region first, so that neither a lost zone nor a cut between regions ends a pair. */
    static Optional<Owner> standby(LeaseId right, MembershipState fleet) {
        Zone home = fleet.self().zone();
        List<Member> able = fleet.members().values().stream()
                .filter(member -> member.status().acceptsCalls())
                .filter(member -> !member.id().equals(fleet.self().id()))
                .toList();
        List<Predicate<Member>> wishes = List.of(
                member -> member.zone().region().equals(home.region())
                        && !member.zone().equals(home),
                member -> !member.zone().equals(home),
                member -> true);
        for (Predicate<Member> wish : wishes) {
            List<Member> pool = able.stream().filter(wish).toList();
            if (!pool.isEmpty()) {
                return Rings.rendezvous("standby|" + right, pool, 1).stream()
                        .map(Member::owner)
                        .findFirst();
            }
        }
        return Optional.empty();
    }
}
