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
 * Divides the rate of each team among members by hashing, without any messages.
 *
 * <p>Nodes with different member lists divide differently, and could together lend more than the rate. Changes that add
 * to what is lent are therefore delayed: a member that joins lends nothing until all others have received its entry,
 * and a member that is declared dead remains an owner until it can no longer lend, in case it is running but cut off.
 */
public final class PlacementLogic {

    /** Time after which all nodes that still admit requests with keys have received the entry of a new member. */
    public static final Duration JOIN_DELAY = Duration.ofSeconds(5);

    /**
     * Replaces the join delay if all members of a fleet start at the same time: nobody lent before, and members
     * discover each other sooner.
     */
    private static final Duration FLEET_START_DELAY = Duration.ofMillis(1_500);

    /** Time after which a member that is cut off from all others no longer accepts keys, and so lends nothing. */
    private static final Duration DEAD_OWNER_RETENTION = Duration.ofSeconds(8);

    /** Maximum burst, in tokens, for one owner in each zone; a team with a larger burst has more owners. */
    private static final double MAX_BURST_PER_OWNER = 500;

    /** Minimum number of owners, so that most of a team's rate remains available when one owner fails. */
    private static final int MIN_OWNERS = 3;

    /** Minimum burst of one share, in tokens, in a team with more than the minimum number of owners. */
    private static final double MIN_SHARE_BURST = 5;

    /**
     * Tokens that a share should hold: with hardly more than one token it refuses the second of two successive calls.
     */
    private static final double USABLE_SHARE_BURST = 3;

    /**
     * Number of owners that one node borrows from; more would only cost messages, as all run out at about the same
     * time.
     */
    private static final int REQUESTED_OWNERS = 3;

    private PlacementLogic() {}

    /**
     * Computes the lenders from the current members; the shares of all teams are discarded if the lenders have changed.
     *
     * @param state the state
     * @param fleet current members
     * @param now current time
     * @return the new state
     */
    public static PlacementState updateLenders(PlacementState state, MembershipState fleet, Instant now) {
        if (state.members() == fleet.members() && now.isBefore(state.reviewAt())) {
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
                Instant until = since.plus(DEAD_OWNER_RETENTION);
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
        if (fleetStartedTogether(fleet)) {
            Instant startEnd = lendsFrom.minus(JOIN_DELAY).plus(FLEET_START_DELAY);
            reviewAt = now.isBefore(startEnd) && startEnd.isBefore(reviewAt) ? startEnd : reviewAt;
            lendsFrom = now.isBefore(startEnd) ? lendsFrom : startEnd;
        }
        PMap<String, TeamShares> byTeam = lenders.equals(state.lenders()) ? state.sharesByTeam() : HashTreePMap.empty();
        Instant since = byTeam == state.sharesByTeam() ? state.lendersSince() : now;
        return new PlacementState(fleet.members(), deadSince, reviewAt, List.copyOf(lenders), byTeam, since, lendsFrom);
    }

    /**
     * Returns whether all known members have just started. Not so for a node that knows no other: it may have joined a
     * fleet whose announcements are missing for a moment.
     */
    private static boolean fleetStartedTogether(MembershipState fleet) {
        if (fleet.members().size() == 1) {
            return false;
        }
        long oldest = fleet.self().epoch() - JOIN_DELAY.toMillis();
        return fleet.members().values().stream().allMatch(member -> member.epoch() > oldest);
    }

    /**
     * Allows this process to lend at once, because an earlier process of this node was a member and all others assign
     * shares to the node already.
     *
     * @param state the state
     * @param now current time
     * @return the new state
     */
    public static PlacementState allowLending(PlacementState state, Instant now) {
        return now.isBefore(state.lendsFrom()) ? state.withLendsFrom(now) : state;
    }

    /**
     * Computes the shares of a team, unless the state has them.
     *
     * @param state the state
     * @param team the team
     * @param slack number of calls beyond rate and burst that operators tolerate, for teams too small to be divided
     * @param fleet current members, with this node
     * @return the new state, with the shares of the team
     */
    public static PlacementState computeShares(PlacementState state, Team team, double slack, MembershipState fleet) {
        TeamShares existing = state.sharesByTeam().get(team.name());
        if (existing != null && existing.team().equals(team)) {
            return state;
        }
        return state.withTeam(shares(team, slack, chooseLenders(team, state.lenders()), fleet.self()));
    }

    /** Chooses the owners of a team's shares: one or more lenders in each zone, or in fewer zones for a small burst. */
    private static Set<Lender> chooseLenders(Team team, List<Lender> lenders) {
        int most = (int) Math.max(MIN_OWNERS, team.burst() / MIN_SHARE_BURST);
        Map<Zone, List<Lender>> zones =
                lenders.stream().collect(Collectors.groupingBy(Lender::zone, LinkedHashMap::new, Collectors.toList()));
        List<Zone> chosenZones = Rings.rendezvous("zone|" + team.name(), zones.keySet(), Zone::toString, most);
        int perZone = (int) Math.max(1, Math.ceil(team.burst() / MAX_BURST_PER_OWNER / Math.max(1, zones.size())));
        Set<Lender> chosen = new LinkedHashSet<>();
        chosenZones.forEach(zone -> chosen.addAll(highestRanked(team, zones.get(zone), perZone)));
        if (chosen.size() < MIN_OWNERS) {
            chosen.addAll(highestRanked(team, lenders, MIN_OWNERS));
        }
        return chosen;
    }

    private static List<Lender> highestRanked(Team team, List<Lender> lenders, int count) {
        return Rings.rendezvous(
                "share|" + team.name(), lenders, lender -> lender.id().value(), count);
    }

    private static TeamShares shares(Team team, double slack, Set<Lender> chosen, Member self) {
        Map<LeaseId, NodeId> owners = new HashMap<>();
        chosen.forEach(owner -> owners.put(shareId(team, owner.id()), owner.id()));
        List<LeaseId> requestOrder = chosen.stream()
                .sorted(Comparator.comparingInt((Lender owner) -> distance(owner, self))
                        .thenComparingLong(owner ->
                                Hashes.of(self.id().value() + "|" + owner.id().value())))
                .limit(REQUESTED_OWNERS)
                .map(owner -> shareId(team, owner.id()))
                .toList();
        int count = Math.max(1, chosen.size());
        double usable = Math.min(count * USABLE_SHARE_BURST, team.burst() + slack);
        double burst = Math.max(team.burst(), usable);
        Team divided = new Team(team.name(), team.rate(), burst, count, team.importance());
        return new TeamShares(team, divided, requestOrder, Map.copyOf(owners));
    }

    private static LeaseId shareId(Team team, NodeId owner) {
        return new LeaseId(LeaseId.Kind.SHARE, team.name(), Hashes.bucket(owner.value(), Integer.MAX_VALUE));
    }

    /**
     * Returns the rank of an owner for requests: this node first, then its zone, other zones, and dead members last.
     */
    private static int distance(Lender owner, Member self) {
        if (owner.id().equals(self.id())) {
            return 0;
        }
        if (owner.dead()) {
            return 3;
        }
        return owner.zone().equals(self.zone()) ? 1 : 2;
    }
}
