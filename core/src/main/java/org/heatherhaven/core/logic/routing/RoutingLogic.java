package org.heatherhaven.core.logic.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import org.heatherhaven.core.logic.membership.MembershipState;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.MemberStatus;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Zone;

/** Chooses targets for calls and tracks how calls end at each target. */
public final class RoutingLogic {

    /** Consecutive failures after which a target is avoided. */
    private static final int FAILURES_TO_AVOID = 3;

    /** Time for which a target is avoided at first; doubles with each further consecutive failure. */
    private static final Duration AVOID_BASE = Duration.ofMillis(250);
    /** Longest time for which a target is avoided. */
    private static final Duration AVOID_LIMIT = Duration.ofSeconds(4);

    private static final int MAX_AVOID_DOUBLINGS = 4;

    /**
     * Targets are avoided only as long as they are at most one in this many, because the remaining ones would otherwise
     * be overloaded.
     */
    private static final int AVOIDED_DIVISOR = 3;

    /** Load, in thousandths of a target's limit, above which calls of a region spill over to other regions. */
    private static final int REGION_SPILL_LOAD = 1_500;

    /** Load, in thousandths of its limit, below which a target has spare capacity. */
    private static final int ROOM_LOAD = 900;

    /**
     * Load, in thousandths, above which calls of a zone spill over to targets of other zones with spare capacity. Calls
     * queue at this load; below it, crossing zones would cost traffic and time and save none.
     */
    private static final int ZONE_SPILL_LOAD = 1_200;

    /**
     * Difference in load, in thousandths, above which calls leave the zone although no target has spare capacity.
     * Otherwise the zone with the most callers or the slowest target would refuse important calls while other zones
     * serve less important ones.
     */
    private static final int ZONE_SPILL_MARGIN = 600;

    /**
     * Age at which a reported load is stale and counts as at most {@link #STALE_LOAD_CAP}, so that the target is
     * retried.
     */
    private static final Duration LOAD_TTL = Duration.ofMillis(300);

    private static final int STALE_LOAD_CAP = 500;

    /** Cost of crossing zones, as a fraction of the load of a full target. */
    private static final double ZONE_COST = 0.3;

    private static final double LOAD_UNIT = 1_000;

    private RoutingLogic() {}

    /**
     * Chooses the target for a call, preferring the own zone, then the own region.
     *
     * @param state the current routing state
     * @param mode routing strategy
     * @param fleet current members of the fleet
     * @param service service that runs the call
     * @param tried nodes of the targets that this call has already tried
     * @param random source of random choices
     * @param now the current time
     * @return the node of the chosen target, or empty if no target is left
     */
    public static Optional<NodeId> choose(
            RoutingState state,
            RoutingMode mode,
            MembershipState fleet,
            String service,
            Set<NodeId> tried,
            SplittableRandom random,
            Instant now) {
        List<Member> candidates = candidates(fleet, service, tried);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        if (mode == RoutingMode.RANDOM) {
            return Optional.of(candidates.get(random.nextInt(candidates.size())).id());
        }
        List<Member> healthy = withoutAvoided(state, candidates, now);
        Zone home = fleet.self().zone();
        List<Member> region = new ArrayList<>(healthy.size());
        List<Member> zone = new ArrayList<>();
        List<Member> otherZones = new ArrayList<>();
        for (Member member : healthy) {
            if (member.zone().region().equals(home.region())) {
                region.add(member);
                (member.zone().equals(home) ? zone : otherZones).add(member);
            }
        }
        if (region.isEmpty()) {
            return Optional.of(
                    cheaperOfTwo(state, home, healthy, zone, random, now).id());
        }
        if (!zone.isEmpty()) {
            Member local = cheaperOfTwo(state, home, zone, zone, random, now);
            if (otherZones.isEmpty() || loadOf(state, local, now) < ZONE_SPILL_LOAD) {
                return Optional.of(local.id());
            }
            Member other = cheaperOfTwo(state, home, otherZones, List.of(), random, now);
            return Optional.of(worthCrossingZones(state, local, other, now) ? other.id() : local.id());
        }
        Member near = cheaperOfTwo(state, home, region, zone, random, now);
        boolean full = state.of(near.id(), now).load() > REGION_SPILL_LOAD;
        return Optional.of(
                full ? cheaperOfTwo(state, home, healthy, zone, random, now).id() : near.id());
    }

    private static boolean worthCrossingZones(RoutingState state, Member local, Member other, Instant now) {
        int load = loadOf(state, other, now);
        return load < ROOM_LOAD || load + ZONE_SPILL_MARGIN < loadOf(state, local, now);
    }

    /**
     * Returns whether a target that was not tried has spare capacity, according to the last reported loads.
     *
     * @param state the current routing state
     * @param fleet current members of the fleet
     * @param service service that runs the call
     * @param tried nodes of the targets that this call has already tried
     * @param now the current time
     * @return false if all remaining targets report that they are full
     */
    public static boolean hasRoom(
            RoutingState state, MembershipState fleet, String service, Set<NodeId> tried, Instant now) {
        return candidates(fleet, service, tried).stream().anyMatch(member -> loadOf(state, member, now) < ROOM_LOAD);
    }

    /**
     * Returns the members that accept calls, or the suspected ones if there are none, because a suspicion is often
     * wrong.
     */
    private static List<Member> candidates(MembershipState fleet, String service, Set<NodeId> tried) {
        List<Member> candidates = new ArrayList<>();
        List<Member> suspected = new ArrayList<>();
        for (NodeId id : fleet.nodesOfService(service)) {
            Member member = fleet.members().get(id);
            if (tried.contains(id)) {
                continue;
            }
            if (member.status().acceptsCalls()) {
                candidates.add(member);
            } else if (member.status() == MemberStatus.SUSPECT) {
                suspected.add(member);
            }
        }
        return candidates.isEmpty() ? suspected : candidates;
    }

    private static List<Member> withoutAvoided(RoutingState state, List<Member> candidates, Instant now) {
        List<Member> healthy = new ArrayList<>(candidates.size());
        for (Member member : candidates) {
            if (!now.isBefore(state.of(member.id(), now).avoidUntil())) {
                healthy.add(member);
            }
        }
        int avoided = candidates.size() - healthy.size();
        return avoided * AVOIDED_DIVISOR > candidates.size() || healthy.isEmpty() ? candidates : healthy;
    }

    /** Returns the cheaper of two random members; the first is one of the local members if there are any. */
    private static Member cheaperOfTwo(
            RoutingState state,
            Zone home,
            List<Member> members,
            List<Member> local,
            SplittableRandom random,
            Instant now) {
        List<Member> firstPool = local.isEmpty() ? members : local;
        Member first = firstPool.get(random.nextInt(firstPool.size()));
        Member second = members.get(random.nextInt(members.size()));
        return cost(state, home, first, now) <= cost(state, home, second, now) ? first : second;
    }

    /** Returns the cost of a call at a target: calls in flight from here per slot, reported load, zone crossing. */
    private static double cost(RoutingState state, Zone home, Member member, Instant now) {
        TargetStats stats = state.of(member.id(), now);
        double own = (stats.inFlight() + 1.0) / Math.max(1, member.slots());
        double away = member.zone().equals(home) ? 0 : ZONE_COST;
        return own + loadOf(state, member, now) / LOAD_UNIT + away;
    }

    /** Returns the last reported load in thousandths of the limit, capped if the report is stale. */
    private static int loadOf(RoutingState state, Member member, Instant now) {
        TargetStats stats = state.of(member.id(), now);
        boolean recent = Duration.between(stats.loadAt(), now).compareTo(LOAD_TTL) <= 0;
        return recent ? stats.load() : Math.min(stats.load(), STALE_LOAD_CAP);
    }

    /**
     * Counts a call that was sent to a target.
     *
     * @param state the current routing state
     * @param target node of the target
     * @param now the current time
     * @return the new state
     */
    public static RoutingState sent(RoutingState state, NodeId target, Instant now) {
        TargetStats stats = state.of(target, now);
        return state.with(target, stats.withInFlight(stats.inFlight() + 1));
    }

    /**
     * Records that a call succeeded at a target.
     *
     * @param state the current routing state
     * @param target node of the target
     * @param load load that its node reported, in thousandths of its limit
     * @param now the current time
     * @return the new state
     */
    public static RoutingState succeeded(RoutingState state, NodeId target, int load, Instant now) {
        TargetStats stats = state.of(target, now);
        return state.with(
                target,
                stats.withInFlight(stats.inFlight() - 1).withLoad(load, now).withFailures(0, stats.avoidUntil()));
    }

    /**
     * Records that a call failed at a target, and avoids the target for some time after {@link #FAILURES_TO_AVOID}
     * consecutive failures.
     *
     * @param state the current routing state
     * @param target node of the target
     * @param now the current time
     * @return the new state
     */
    public static RoutingState failed(RoutingState state, NodeId target, Instant now) {
        TargetStats stats = state.of(target, now);
        int failures = stats.failures() + 1;
        Instant until = stats.avoidUntil();
        if (failures >= FAILURES_TO_AVOID) {
            int doublings = Math.min(failures - FAILURES_TO_AVOID, MAX_AVOID_DOUBLINGS);
            Duration avoidTime = AVOID_BASE.multipliedBy(1L << doublings);
            until = now.plus(avoidTime.compareTo(AVOID_LIMIT) > 0 ? AVOID_LIMIT : avoidTime);
        }
        return state.with(target, stats.withInFlight(stats.inFlight() - 1).withFailures(failures, until));
    }

    /**
     * Records that a call ended at a target without evidence of the target's health, such as a refusal.
     *
     * @param state the current routing state
     * @param target node of the target
     * @param load load that its node reported, in thousandths of its limit
     * @param now the current time
     * @return the new state
     */
    public static RoutingState released(RoutingState state, NodeId target, int load, Instant now) {
        TargetStats stats = state.of(target, now);
        return state.with(target, stats.withInFlight(stats.inFlight() - 1).withLoad(load, now));
    }

    /**
     * Removes targets that are no longer members and have no calls in flight.
     *
     * @param state the current routing state
     * @param fleet current members
     * @return the new state
     */
    public static RoutingState prune(RoutingState state, MembershipState fleet) {
        RoutingState next = state;
        for (NodeId id : state.targets().keySet()) {
            boolean gone =
                    fleet.find(id).map(member -> member.status().departed()).orElse(true);
            if (gone && state.targets().get(id).inFlight() == 0) {
                next = new RoutingState(next.targets().minus(id));
            }
        }
        return next;
    }
}
