package org.heatherhaven.core.logic.leases;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;
import org.heatherhaven.core.logic.idempotency.IdempotencyLogic;
import org.heatherhaven.core.logic.membership.MembershipState;
import org.heatherhaven.core.logic.quota.LeasedShares;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.Team;
import org.heatherhaven.core.recorded.FixedFleet;
import org.heatherhaven.core.recorded.Recorded;

/** Nodes of all versions agree on where a right is at home, and who stands by. */
class RecordedPlacementTest {

    private static final List<Member> NINE = FixedFleet.nine();

    @Example
    void homesAndStandbysAreThoseRecorded() {
        List<String> lines = new ArrayList<>();
        MembershipState fleet = FixedFleet.seenBy(NINE.get(4), NINE);
        for (int index = 0; index < IdempotencyLogic.SLOTS_PER_SERVICE; index++) {
            for (LeaseId right : List.of(
                    new LeaseId(LeaseId.Kind.SHARE, "banquets", index),
                    new LeaseId(LeaseId.Kind.SLOT, "bookings", index))) {
                lines.add(right + " home " + LeasePlacement.home(right, fleet).orElseThrow() + " standby "
                        + LeasePlacement.chooseStandby(right, fleet).orElseThrow());
            }
        }
        Recorded.requireSame("homes.txt", lines);
    }

    @Example
    void leasedSharesAreAskedInTheOrderRecorded() {
        List<String> lines = new ArrayList<>();
        for (Member self : NINE) {
            LeasedShares shares =
                    new LeasedShares(LeasesState.start(self.owner(), FixedFleet.NOW), FixedFleet.seenBy(self, NINE));
            lines.add(self.id() + " asks " + shares.shares(new Team("banquets", 12.5, 6, 7)));
        }
        Recorded.requireSame("leased-shares.txt", lines);
    }
}
