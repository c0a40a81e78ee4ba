package org.heatherhaven.core.logic.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import net.jqwik.api.Example;
import org.heatherhaven.core.logic.membership.MembershipState;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.MemberStatus;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Team;
import org.heatherhaven.core.recorded.FixedFleet;
import org.heatherhaven.core.recorded.Recorded;

/** Nodes of all versions agree on who lends which share of a team's rate. */
class RecordedSharesTest {

    /** Small teams have shares in some of five zones only, and large ones in all. */
    private static final List<Team> TEAMS = List.of(
            new Team("banquets", 12.5, 6, 1),
            new Team("porters", 2, 7, 1),
            new Team("kitchen", 3, 8, 1),
            new Team("laundry", 4, 9, 1),
            new Team("garden", 5, 10, 1),
            new Team("pool", 6, 11, 1),
            new Team("crews", 1_000, 2_000, 1),
            new Team("walk-ins", 40, 25, 1),
            new Team("night-audit", 3, 10_000, 1));

    private static List<String> owners(String fleetName, List<Member> members) {
        List<String> lines = new ArrayList<>();
        for (Team team : TEAMS) {
            for (Member self : members.subList(0, 3)) {
                MembershipState fleet = FixedFleet.seenBy(self, members);
                PlacementState state = PlacementLogic.updateLenders(
                        PlacementState.start(FixedFleet.NOW), fleet, FixedFleet.NOW.plusSeconds(1));
                TeamShares shares = PlacementLogic.computeShares(state, team, 0, fleet)
                        .sharesByTeam()
                        .get(team.name());
                Map<String, NodeId> owners = new TreeMap<>();
                shares.owners().forEach((share, owner) -> owners.put(share.toString(), owner));
                lines.add(fleetName + " " + self.id() + " shares of " + team.name() + " "
                        + shares.effectiveTeam().shares() + " burst "
                        + shares.effectiveTeam().burst() + " " + owners);
                lines.add(fleetName + " " + self.id() + " asks for " + team.name() + " " + shares.requestOrder());
            }
        }
        return lines;
    }

    @Example
    void sharesAreThoseRecorded() {
        List<Member> ill = new ArrayList<>(FixedFleet.nine());
        ill.set(3, ill.get(3).withStatus(MemberStatus.DEAD));
        ill.set(4, ill.get(4).withStatus(MemberStatus.LEFT));
        ill.set(5, ill.get(5).withStatus(MemberStatus.SUSPECT));
        List<String> lines = new ArrayList<>();
        lines.addAll(owners("nine-in-3-zones", FixedFleet.nine()));
        lines.addAll(owners("twenty-in-5-zones", FixedFleet.fleet(20, 5)));
        lines.addAll(owners("nine-with-losses", ill));
        Recorded.requireSame("shares.txt", lines);
    }
}
