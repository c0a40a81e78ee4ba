package org.heatherhaven.core.logic.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.heatherhaven.core.logic.Hashes;
import org.heatherhaven.core.logic.membership.MembershipState;
import org.heatherhaven.core.logic.membership.Rings;
import org.heatherhaven.core.logic.placement.PlacementState.Lender;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.MemberStatus;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Team;
import org.heatherhaven.core.model.Zone;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Divides each team's rate among members, without any of them being asked.
 *
 * <p>Two nodes that know different members divide differently, so a change must be slow where it would add to what is
 * lent out: a member that joins lends nothing until all others have surely heard of it, and a member held for dead keeps
 * its shares until it can't lend any more, should it live and be cut off.
 */
public final class PlacementLogic {

    /** All nodes that still admit requests with keys have heard of a new member after this time. */
    public static final Duration SETTLE = Duration.ofSeconds(5);

    /** In a fleet that starts as a whole nobody lent before; members find each other in less than this time. */
    private static final Duration SETTLE_TOGETHER = Duration.ofMillis(1_500);

    /** A member cut off from all others no longer trusts keys after this time. */
    private static final Duration DEAD_KEEPS = Duration.ofSeconds(8);

    /** Burst that one owner in each zone can lend out; a larger team has more owners. */
    private static final double BURST_PER_OWNER = 500;

    /** So many owners that the end of one leaves a team most of its rate. */
    private static final int MIN_OWNERS = 3;

    /** Burst below which a team is divided among no more than the fewest owners. */
    private static final double SMALLEST_SHARE_BURST = 5;

    /** Tokens that a share should hold: with hardly more than one it refuses the second of two calls in a row. */
    private static final double USABLE_SHARE_BURST = 3;

    /** Owners that one node asks for tokens; more would cost messages, and those who have none answer alike. */
    private static final int ASKED_OWNERS = 3;

    private PlacementLogic() {}

    /**
     * Follows the members.
     *
     * @param state the state
     * @param fleet the members
     * @param now the time
     * @return the new state
     */
    public static PlacementState follow(PlacementState state, MembershipState fleet, Instant now) {
        if (state.seen() == fleet.members() && now.isBefore(state.reviewAt())) {
            return state;
        }
        PMap<NodeId, Instant> deadSince = HashTreePMap.empty();
        Instant reviewAt = Instant.MAX;
        List<Lender> lenders = new ArrayList<>();
        for (Map.Entry<NodeId, Member> entry : fleet.members().entrySet()) {
            Member member = entry.getValue();
            if (member.status() == MemberStatus.DEAD) {
                Instant since = state.deadSince().getOrDefault(entry.getKey(), now);
                deadSince = deadSince.plus(entry.getKey(), since);
                Instant until = since.plus(DEAD_KEEPS);
                if (!now.isBefore(until)) {
                    continue;
                }
                reviewAt = until.isBefore(reviewAt) ? until : reviewAt;
            }
            if (member.status() != MemberStatus.LEFT) {
                lenders.add(
                        new Lender(member.id(), member.zone(), member.status().departed()));
            }
        }
        Instant lendsFrom = state.lendsFrom();
        if (startsTogether(fleet)) {
            Instant together = lendsFrom.minus(SETTLE).plus(SETTLE_TOGETHER);
            reviewAt = now.isBefore(together) && together.isBefore(reviewAt) ? together : reviewAt;
            lendsFrom = now.isBefore(together) ? lendsFrom : together;
        }
        PMap<String, TeamShares> byTeam = lenders.equals(state.lenders()) ? state.byTeam() : HashTreePMap.empty();
        Instant since = byTeam == state.byTeam() ? state.since() : now;
        return new PlacementState(fleet.members(), deadSince, reviewAt, List.copyOf(lenders), byTeam, since, lendsFrom);
    }

    private static boolean startsTogether(MembershipState fleet) {
        long oldest = fleet.self().epoch() - SETTLE.toMillis();
        return fleet.members().values().stream().allMatch(member -> member.epoch() > oldest);
    }

    /**
     * Notes that an earlier process of this node was a member, so that all others count with it already.
     *
     * @param state the state
     * @param now the time
     * @return the new state
     */
    public static PlacementState knownBefore(PlacementState state, Instant now) {
        return now.isBefore(state.lendsFrom()) ? state.withLendsFrom(now) : state;
    }

    /**
     * Works out the shares of a team, unless they are known.
     *
     * @param state the state
     * @param team the team
     * @param slack calls beyond rate and burst that the operators tolerate, for teams too small to be divided
     * @param fleet the members, with this node
     * @return the state that knows them
     */
    public static PlacementState place(PlacementState state, Team team, double slack, MembershipState fleet) {
        TeamShares known = state.byTeam().get(team.name());
        if (known != null && known.team().equals(team)) {
            return state;
        }
        return state.withTeam(shares(team, slack, lendersOf(team, state.lenders()), fleet.self()));
    }

    /** One or more in each zone, or few for a team whose burst is not worth dividing further. */
    private static Set<Lender> lendersOf(Team team, List<Lender> lenders) {
        int most = (int) Math.max(MIN_OWNERS, team.burst() / SMALLEST_SHARE_BURST);
        Map<Zone, List<Lender>> zones =
                lenders.stream().collect(Collectors.groupingBy(Lender::zone, LinkedHashMap::new, Collectors.toList()));
        List<Zone> chosenZones = Rings.rendezvous("zone|" + team.name(), zones.keySet(), Zone::toString, most);
        int perZone = (int) Math.max(1, Math.ceil(team.burst() / BURST_PER_OWNER / Math.max(1, zones.size())));
        Set<Lender> chosen = new LinkedHashSet<>();
        chosenZones.forEach(zone -> chosen.addAll(rank(team, zones.get(zone), perZone)));
        if (chosen.size() < MIN_OWNERS) {
            chosen.addAll(rank(team, lenders, MIN_OWNERS));
        }
        return chosen;
    }

    private static List<Lender> rank(Team team, List<Lender> lenders, int count) {
        return Rings.rendezvous(
                "share|" + team.name(), lenders, lender -> lender.id().value(), count);
    }

    private static TeamShares shares(Team team, double slack, Set<Lender> chosen, Member self) {
        Map<LeaseId, NodeId> owners = new HashMap<>();
        chosen.forEach(owner -> owners.put(share(team, owner.id()), owner.id()));
        List<LeaseId> asked = chosen.stream()
                .sorted(Comparator.comparingInt((Lender owner) -> distance(owner, self))
                        .thenComparingLong(owner ->
                                Hashes.of(self.id().value() + "|" + owner.id().value())))
                .limit(ASKED_OWNERS)
                .map(owner -> share(team, owner.id()))
                .toList();
        int count = Math.max(1, chosen.size());
        double usable = Math.min(count * USABLE_SHARE_BURST, team.burst() + slack);
        double burst = Math.max(team.burst(), usable);
        Team divided = new Team(team.name(), team.rate(), burst, count, team.importance());
        return new TeamShares(team, divided, asked, Map.copyOf(owners));
    }

    private static LeaseId share(Team team, NodeId owner) {
        return new LeaseId(LeaseId.Kind.SHARE, team.name(), Hashes.bucket(owner.value(), Integer.MAX_VALUE));
    }

    /** Its own share first, then those nearby, and last those of members that are gone. */
    private static int distance(Lender owner, Member self) {
        if (owner.id().equals(self.id())) {
            return 0;
        }
        if (owner.gone()) {
            return 3;
        }
        return owner.zone().equals(self.zone()) ? 1 : 2;
    }
}
