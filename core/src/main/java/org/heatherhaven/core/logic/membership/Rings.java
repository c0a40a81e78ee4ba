package org.heatherhaven.core.logic.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.heatherhaven.core.logic.Hashes;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Zone;

/**
 * Chooses whom to probe: the successor in each of a few rings, ordered by independent hashes.
 *
 * <p>Every member then probes, and is probed by, a small number of others over standing connections, whatever the size
 * of the fleet, and the rings together form a random graph on which news spreads in a logarithmic number of steps. Most
 * rings stay within a zone, so that what is told to all crosses zones by one of them only.
 */
public final class Rings {

    /** Number of rings; each gives a neighbour, and a watcher of the zone is one more. */
    static final int RINGS = 3;

    /** Rings that stay within a zone, where connections are short and cheap; the last one crosses all zones. */
    private static final int ZONE_RINGS = 2;

    /** Members of a zone that watch the platform at least, so that the loss of one is not felt. */
    private static final int WATCHERS = 2;

    /** Members whose word one watcher passes on, so that its probes stay few. */
    private static final int MEMBERS_PER_WATCHER = 64;

    private Rings() {}

    /**
     * Members that watch the platform for a zone; the same on all nodes that know the same members.
     *
     * @param zone the zone
     * @param members all members
     * @return the watchers, best first
     */
    public static List<Member> watchers(Zone zone, Collection<Member> members) {
        List<Member> candidates = living(zone, members);
        int forZone = (int) Math.ceil((double) candidates.size() / MEMBERS_PER_WATCHER);
        return ranked(zone, candidates, Math.max(WATCHERS, forZone));
    }

    private static List<Member> ranked(Zone zone, List<Member> candidates, int count) {
        return rendezvous("watch|" + zone, candidates, count);
    }

    private static List<Member> living(Zone zone, Collection<Member> members) {
        return members.stream()
                .filter(member -> member.zone().equals(zone) && !member.status().departed())
                .toList();
    }

    static List<NodeId> successors(Member self, Collection<Member> members) {
        List<Member> others = members.stream()
                .filter(member -> !member.status().departed() && !member.id().equals(self.id()))
                .toList();
        List<Member> near = others.stream()
                .filter(member -> member.zone().equals(self.zone()))
                .toList();
        List<NodeId> chosen = new ArrayList<>();
        List<Member> watchers = watchers(self.zone(), members);
        if (watchers.stream().noneMatch(watcher -> watcher.id().equals(self.id())) && !watchers.isEmpty()) {
            // The platform's word is then never older than a probe and a watcher's read.
            int mine = Hashes.bucket(self.id().value(), watchers.size());
            chosen.add(watchers.get(mine).id());
        }
        for (int ring = 0; ring < RINGS; ring++) {
            boolean zoneRing = ring < ZONE_RINGS && near.size() > chosen.size();
            successor(self.id(), zoneRing ? near : others, ring, chosen).ifPresent(chosen::add);
        }
        return List.copyOf(chosen);
    }

    private static Optional<NodeId> successor(NodeId self, List<Member> members, int ring, List<NodeId> taken) {
        long own = Hashes.of(ring + "|" + self.value());
        return members.stream()
                .map(Member::id)
                .filter(id -> !taken.contains(id))
                .min((a, b) -> Long.compareUnsigned(distance(ring, own, a), distance(ring, own, b)));
    }

    private static long distance(int ring, long own, NodeId id) {
        return Hashes.of(ring + "|" + id.value()) - own;
    }

    /**
     * Orders candidates for a task by rendezvous hashing.
     *
     * @param task name of the task
     * @param candidates candidates
     * @param name unique name of a candidate, equal on every node
     * @param count how many to choose
     * @param <T> type of the candidates
     * @return the chosen candidates, best first
     */
    public static <T> List<T> rendezvous(String task, Collection<T> candidates, Function<T, String> name, int count) {
        record Ranked<T>(T candidate, long weight) {}
        return candidates.stream()
                .map(candidate -> new Ranked<>(candidate, Hashes.of(task + "|" + name.apply(candidate))))
                .sorted((a, b) -> Long.compareUnsigned(b.weight(), a.weight()))
                .limit(count)
                .map(Ranked::candidate)
                .toList();
    }

    /**
     * Orders members for a task by rendezvous hashing.
     *
     * @param task name of the task
     * @param members candidates
     * @param count how many to choose
     * @return the chosen members, best first
     */
    public static List<Member> rendezvous(String task, Collection<Member> members, int count) {
        return rendezvous(task, members, member -> member.id().value(), count);
    }
}
