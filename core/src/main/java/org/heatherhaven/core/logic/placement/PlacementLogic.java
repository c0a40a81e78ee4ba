package org.heatherhaven.core.logic.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.heatherhaven.core.logic.membership.MembershipState;
import org.heatherhaven.core.logic.membership.Rings;
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
        List<Member> owners = new ArrayList<>();
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
                owners.add(member);
            }
        }
        Instant lendsFrom = state.lendsFrom();
        if (startsTogether(fleet)) {
            Instant together = lendsFrom.minus(SETTLE).plus(SETTLE_TOGETHER);
            reviewAt = now.isBefore(together) && together.isBefore(reviewAt) ? together : reviewAt;
            lendsFrom = now.isBefore(together) ? lendsFrom : together;
        }
        return new PlacementState(
                fleet.members(), deadSince, reviewAt, List.copyOf(owners), HashTreePMap.empty(), lendsFrom);
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
     * Works out the owners of a team's shares.
     *
     * @param state the state
     * @param team the team
     * @return the state that knows them
     */
    public static PlacementState place(PlacementState state, Team team) {
        if (state.byTeam().containsKey(team.name())) {
            return state;
        }
        Map<Zone, List<Member>> zones = state.owners().stream()
                .collect(Collectors.groupingBy(Member::zone, LinkedHashMap::new, Collectors.toList()));
        int perZone = (int) Math.max(1, Math.ceil(team.burst() / BURST_PER_OWNER / Math.max(1, zones.size())));
        Set<NodeId> nodes = new LinkedHashSet<>();
        zones.values().forEach(members -> nodes.addAll(rank(team, members, perZone)));
        if (nodes.size() < MIN_OWNERS) {
            nodes.addAll(rank(team, state.owners(), MIN_OWNERS));
        }
        return state.withTeam(team.name(), List.copyOf(nodes));
    }

    private static List<NodeId> rank(Team team, List<Member> members, int count) {
        return Rings.rendezvous("share|" + team.name(), members, count).stream()
                .map(Member::id)
                .toList();
    }
}
