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

/** Chooses targets and learns from how calls end there. */
public final class RoutingLogic {

    private static final int FAILURES_TO_AVOID = 3;
    private static final Duration AVOID_BASE = Duration.ofMillis(250);
    private static final Duration AVOID_LIMIT = Duration.ofSeconds(4);
    private static final int MAX_AVOID_DOUBLINGS = 4;

    /** No more than one target in this many is set aside, or the others would be overrun. */
    private static final int AVOIDED_SHARE = 3;

    /** Load, in thousandths of its limit, beyond which a region's calls spill over to other regions. */
    private static final int SPILL_LOAD = 1_500;

    /** Load, in thousandths of its limit, below which a target has room. */
    private static final int ROOM_LOAD = 900;

    /**
     * Load beyond which a zone's calls spill over to targets of other zones that have room. Some work waits then; before
     * that the way to another zone would cost bytes and time, and save none.
     */
    private static final int ZONE_SPILL_LOAD = 1_200;

    /**
     * Where all targets are beyond that load, a zone's calls leave for a target whose load is smaller by this. Else the
     * zone with the most callers or the slowest target would refuse what is important while others serve what is not.
     */
    private static final int ZONE_SPILL_MARGIN = 600;

    /** Without newer word a target is held for no more than half full, so that it is tried again. */
    private static final Duration LOAD_LIFE = Duration.ofMillis(300);

    private static final int UNKNOWN_LOAD = 500;

    /** Cost of leaving the zone, in parts of a full target. */
    private static final double ZONE_COST = 0.3;

    private static final double LOAD_UNIT = 1_000;

    private RoutingLogic() {}

    /**
     * Chooses the target for a call.
     *
     * @param state the state
     * @param mode way of choosing
     * @param fleet members to choose among
     * @param service the service wanted
     * @param tried targets that this call has tried already
     * @param random source of the two choices
     * @param now current time
     * @return the node of the chosen target, or nothing if no target is left
     */
    public static Optional<NodeId> choose(
            RoutingState state,
            RoutingMode mode,
            MembershipState fleet,
            String service,
            Set<NodeId> tried,
            SplittableRandom random,
            Instant now) {
        List<Member> able = able(fleet, service, tried);
        if (able.isEmpty()) {
            return Optional.empty();
        }
        if (mode == RoutingMode.RANDOM) {
            return Optional.of(able.get(random.nextInt(able.size())).id());
        }
        List<Member> healthy = withoutAvoided(state, able, now);
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
            return Optional.of(better(state, home, healthy, zone, random, now).id());
        }
        if (!zone.isEmpty()) {
            Member local = better(state, home, zone, zone, random, now);
            if (otherZones.isEmpty() || loadOf(state, local, now) < ZONE_SPILL_LOAD) {
                return Optional.of(local.id());
            }
            Member other = better(state, home, otherZones, List.of(), random, now);
            return Optional.of(worthTheWay(state, local, other, now) ? other.id() : local.id());
        }
        Member near = better(state, home, region, zone, random, now);
        boolean full = state.of(near.id(), now).load() > SPILL_LOAD;
        return Optional.of(
                full ? better(state, home, healthy, zone, random, now).id() : near.id());
    }

    private static boolean worthTheWay(RoutingState state, Member local, Member other, Instant now) {
        int load = loadOf(state, other, now);
        return load < ROOM_LOAD || load + ZONE_SPILL_MARGIN < loadOf(state, local, now);
    }

    /**
     * Tells whether a target that was not tried has room, as far as is known here.
     *
     * @param state the state
     * @param fleet the members
     * @param service service that shall run the call
     * @param tried nodes that were tried
     * @param now the time
     * @return false if all that are left are known to be full
     */
    public static boolean hasRoom(
            RoutingState state, MembershipState fleet, String service, Set<NodeId> tried, Instant now) {
        return able(fleet, service, tried).stream().anyMatch(member -> loadOf(state, member, now) < ROOM_LOAD);
    }

    /** Members in service; if there are none, suspected ones, because a suspicion is often wrong. */
    private static List<Member> able(MembershipState fleet, String service, Set<NodeId> tried) {
        List<Member> able = new ArrayList<>();
        List<Member> suspected = new ArrayList<>();
        for (NodeId id : fleet.ofService(service)) {
            Member member = fleet.members().get(id);
            if (tried.contains(id)) {
                continue;
            }
            if (member.status().acceptsCalls()) {
                able.add(member);
            } else if (member.status() == MemberStatus.SUSPECT) {
                suspected.add(member);
            }
        }
        return able.isEmpty() ? suspected : able;
    }

    private static List<Member> withoutAvoided(RoutingState state, List<Member> able, Instant now) {
        List<Member> healthy = new ArrayList<>(able.size());
        for (Member member : able) {
            if (!now.isBefore(state.of(member.id(), now).avoidUntil())) {
                healthy.add(member);
            }
        }
        int avoided = able.size() - healthy.size();
        return avoided * AVOIDED_SHARE > able.size() || healthy.isEmpty() ? able : healthy;
    }

    private static Member better(
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

    private static double cost(RoutingState state, Zone home, Member member, Instant now) {
        TargetStats stats = state.of(member.id(), now);
        double own = (stats.inFlight() + 1.0) / Math.max(1, member.slots());
        double away = member.zone().equals(home) ? 0 : ZONE_COST;
        return own + loadOf(state, member, now) / LOAD_UNIT + away;
    }

    private static int loadOf(RoutingState state, Member member, Instant now) {
        TargetStats stats = state.of(member.id(), now);
        boolean recent = Duration.between(stats.loadAt(), now).compareTo(LOAD_LIFE) <= 0;
        return recent ? stats.load() : Math.min(stats.load(), UNKNOWN_LOAD);
    }

    /**
     * Notes that a call was sent to a target.
     *
     * @param state the state
     * @param target node of the target
     * @param now current time
     * @return the new state
     */
    public static RoutingState sent(RoutingState state, NodeId target, Instant now) {
        TargetStats stats = state.of(target, now);
        return state.with(target, stats.withInFlight(stats.inFlight() + 1));
    }

    /**
     * Notes that a call ended well at a target.
     *
     * @param state the state
     * @param target node of the target
     * @param load load that its node reported
     * @param now current time
     * @return the new state
     */
    public static RoutingState succeeded(RoutingState state, NodeId target, int load, Instant now) {
        TargetStats stats = state.of(target, now);
        return state.with(
                target,
                stats.withInFlight(stats.inFlight() - 1).withLoad(load, now).withFailures(0, stats.avoidUntil()));
    }

    /**
     * Notes that a call failed at a target, and sets the target aside after a few failures in a row.
     *
     * @param state the state
     * @param target node of the target
     * @param now current time
     * @return the new state
     */
    public static RoutingState failed(RoutingState state, NodeId target, Instant now) {
        TargetStats stats = state.of(target, now);
        int failures = stats.failures() + 1;
        Instant until = stats.avoidUntil();
        if (failures >= FAILURES_TO_AVOID) {
            int doublings = Math.min(failures - FAILURES_TO_AVOID, MAX_AVOID_DOUBLINGS);
            Duration pause = AVOID_BASE.multipliedBy(1L << doublings);
            until = now.plus(pause.compareTo(AVOID_LIMIT) > 0 ? AVOID_LIMIT : pause);
        }
        return state.with(target, stats.withInFlight(stats.inFlight() - 1).withFailures(failures, until));
    }

    /**
     * Notes that a call was given back by a target without a verdict on its health.
     *
     * @param state the state
     * @param target node of the target
     * @param load load that its node reported
     * @param now current time
     * @return the new state
     */
    public static RoutingState returned(RoutingState state, NodeId target, int load, Instant now) {
        TargetStats stats = state.of(target, now);
        return state.with(target, stats.withInFlight(stats.inFlight() - 1).withLoad(load, now));
    }

    /**
     * Forgets targets that are no longer members.
     *
     * @param state the state
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
