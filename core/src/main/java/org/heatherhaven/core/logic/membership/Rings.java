package org.heatherhaven.core.logic.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.heatherhaven.core.logic.Hashes;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;

/**
 * Chooses whom to probe: the successor in each of a few rings, ordered by independent hashes.
 *
 * <p>Every member then probes, and is probed by, a fixed small number of others over standing connections, whatever
 * the size of the fleet, and the rings together form a random graph on which news spreads in a logarithmic number of
 * steps.
 */
public final class Rings {

    /** Number of rings, and so of neighbours. */
    static final int RINGS = 3;

    private Rings() {}

    static List<NodeId> successors(NodeId self, Collection<Member> members) {
        List<NodeId> chosen = new ArrayList<>();
        for (int ring = 0; ring < RINGS; ring++) {
            NodeId next = successor(self, members, ring, chosen);
            if (next != null) {
                chosen.add(next);
            }
        }
        return List.copyOf(chosen);
    }

    private static NodeId successor(NodeId self, Collection<Member> members, int ring, List<NodeId> taken) {
        long own = Hashes.of(ring + "|" + self.value());
        NodeId best = null;
        long bestDistance = 0;
        for (Member member : members) {
            NodeId id = member.id();
            if (member.status().gone() || id.equals(self) || taken.contains(id)) {
                continue;
            }
            long distance = Hashes.of(ring + "|" + id.value()) - own;
            if (best == null || Long.compareUnsigned(distance, bestDistance) < 0) {
                best = id;
                bestDistance = distance;
            }
        }
        return best;
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
        record Ranked(Member member, long weight) {}
        return members.stream()
                .map(member ->
                        new Ranked(member, Hashes.of(task + "|" + member.id().value())))
                .sorted((a, b) -> Long.compareUnsigned(b.weight(), a.weight()))
                .limit(count)
                .map(Ranked::member)
                .toList();
    }
}
