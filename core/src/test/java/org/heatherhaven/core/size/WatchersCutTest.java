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

/** A node whose watcher is cut off asks the platform itself, long before anybody is held for dead. */
class WatchersCutTest {

    private static final Duration LIMIT = Duration.ofMillis(1_600);
    private static final int NODES = 17;
    private static final int ZONES = 4;

    @Property(tries = 40, seed = "20261204")
    void nodesWhoseWatcherIsCutOffReadThePlatformThemselves(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SmallFleet fleet = SizedFleet.started(seed, NODES, ZONES, new Team("any", 5, 5, 1), 0);
        List<TestNode> cut = IntStream.range(0, NODES / 3)
                .mapToObj(any -> fleet.nodes().get(fleet.random().nextInt(NODES)))
                .toList();
        cut.forEach(node -> fleet.isolate(node, Duration.ofSeconds(10)));
        List<NodeId> gone = cut.stream().map(TestNode::id).toList();
        Instant from = fleet.now();
        fleet.run(LIMIT);
        for (TestNode node : fleet.nodes()) {
            NodeId watcher = node.state().fleet().neighbours().get(0);
            boolean alone = !gone.contains(node.id()) && gone.contains(watcher);
            if (alone && !node.state().policy().nextReadAt().isAfter(from)) {
                throw new AssertionError(node.id() + " did not read, and its watcher " + watcher + " is cut off");
            }
        }
    }
}
