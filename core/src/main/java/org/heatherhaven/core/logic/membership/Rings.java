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
 * Chooses the neighbours that a node probes: its successor in each of a few rings, which are ordered by independent
 * hashes. Also ranks candidates by rendezvous hashing.
 *
 * <p>Each member thus probes, and is probed by, a small number of others over persistent connections, whatever the size
 * of the fleet. The rings together form a random graph, on which gossip reaches all members in a logarithmic number of
 * steps. All rings but one stay within a zone, so that gossip crosses zones over one ring only.
 */
public final class Rings {

    /** Number of rings. Each gives one neighbour; the platform watcher of the zone is one more. */
    static final int RINGS = 3;

    /** Number of rings within a zone, where connections are short and cheap. The last ring spans all zones. */
    private static final int ZONE_RINGS = 2;

    /** Minimum number of members of a zone that watch the platform, so that the zone can lose one. */
    private static final int MIN_WATCHERS = 2;

    /** Number of members that rely on one watcher, which bounds the number of probes that it receives. */
    private static final int MEMBERS_PER_WATCHER = 64;

    private Rings() {}

    /**
     * Returns the members that watch the platform for a zone. All nodes with the same members choose the same ones.
     *
     * @param zone the zone
     * @param members all members
     * @return the watchers, highest rank first
     */
    public static List<Member> platformWatchers(Zone zone, Collection<Member> members) {
        List<Member> candidates = presentMembers(zone, members);
        int forZone = (int) Math.ceil((double) candidates.size() / MEMBERS_PER_WATCHER);
        return chooseWatchers(zone, candidates, Math.max(MIN_WATCHERS, forZone));
    }

    private static List<Member> chooseWatchers(Zone zone, List<Member> candidates, int count) {
        return rendezvous("watch|" + zone, candidates, count);
    }

    private static List<Member> presentMembers(Zone zone, Collection<Member> members) {
        return members.stream()
                .filter(member -> member.zone().equals(zone) && !member.status().departed())
                .toList();
    }

    /**
     * Chooses the neighbours of a node.
     *
     * @param self the node
     * @param members all members
     * @return addresses of the neighbours without repetition; the platform watcher comes first unless the node is one
     *     itself, and the successor in the ring that spans all zones comes last
     */
    static List<NodeId> chooseNeighbours(Member self, Collection<Member> members) {
        List<Member> others = members.stream()
                .filter(member -> !member.status().departed() && !member.id().equals(self.id()))
                .toList();
        List<Member> inOwnZone = others.stream()
                .filter(member -> member.zone().equals(self.zone()))
                .toList();
        List<NodeId> chosen = new ArrayList<>();
        List<Member> watchers = platformWatchers(self.zone(), members);
        if (watchers.stream().noneMatch(watcher -> watcher.id().equals(self.id())) && !watchers.isEmpty()) {
            // By probing a watcher directly, this node receives a confirmation by the platform that is no older than
            // one probe and one read of the watcher.
            int index = Hashes.bucket(self.id().value(), watchers.size());
            chosen.add(watchers.get(index).id());
        }
        for (int ring = 0; ring < RINGS; ring++) {
            boolean zoneRing = ring < ZONE_RINGS && inOwnZone.size() > chosen.size();
            successor(self.id(), zoneRing ? inOwnZone : others, ring, chosen).ifPresent(chosen::add);
        }
        return List.copyOf(chosen);
    }

    private static Optional<NodeId> successor(NodeId self, List<Member> members, int ring, List<NodeId> excluded) {
        long ownHash = Hashes.of(ring + "|" + self.value());
        return members.stream()
                .map(Member::id)
                .filter(id -> !excluded.contains(id))
                .min((a, b) -> Long.compareUnsigned(distance(ring, ownHash, a), distance(ring, ownHash, b)));
    }

    private static long distance(int ring, long ownHash, NodeId id) {
        return Hashes.of(ring + "|" + id.value()) - ownHash;
    }

    /**
     * Chooses candidates for a task by rendezvous hashing.
     *
     * @param task name of the task
     * @param candidates the candidates
     * @param name returns the unique name of a candidate, which is the same on all nodes
     * @param count number of candidates to choose
     * @param <T> type of the candidates
     * @return the chosen candidates, highest rank first
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
     * Chooses members for a task by rendezvous hashing over their addresses.
     *
     * @param task name of the task
     * @param members the candidates
     * @param count number of members to choose
     * @return the chosen members, highest rank first
     */
    public static List<Member> rendezvous(String task, Collection<Member> members, int count) {
        return rendezvous(task, members, member -> member.id().value(), count);
    }
}
