package org.heatherhaven.core.size;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.heatherhaven.core.fleet.SmallFleet;
import org.heatherhaven.core.fleet.TestNode;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Team;

/**
 * Checks that a node whose watcher is isolated reads the policy from the platform itself, before any node is declared
 * dead.
 */
class WatchersCutTest {

    private static final Duration LIMIT = Duration.ofMillis(1_600);
    private static final int NODES = 17;
    private static final int ZONES = 4;

    @Property(tries = 40, seed = "20261204")
    void nodesWhoseWatcherIsIsolatedReadThePlatformThemselves(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet = SizedFleet.started(seed, NODES, ZONES, new Team("any", 5, 5, 1), 0);
        List<TestNode> isolated = IntStream.range(0, NODES / 3)
                .mapToObj(any -> fleet.nodes().get(fleet.random().nextInt(NODES)))
                .toList();
        isolated.forEach(node -> fleet.isolate(node, Duration.ofSeconds(10)));
        List<NodeId> isolatedIds = isolated.stream().map(TestNode::id).toList();
        Instant from = fleet.now();
        fleet.run(LIMIT);
        for (TestNode node : fleet.nodes()) {
            NodeId watcher = node.state().fleet().neighbours().get(0);
            boolean withoutWatcher = !isolatedIds.contains(node.id()) && isolatedIds.contains(watcher);
            if (withoutWatcher && !node.state().policy().nextReadAt().isAfter(from)) {
                throw new AssertionError(
                        node.id() + " did not read the platform, and its watcher " + watcher + " is isolated");
            }
        }
    }
}
