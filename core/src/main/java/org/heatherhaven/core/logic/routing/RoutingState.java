package org.heatherhaven.core.logic.routing;

import java.time.Instant;

import org.heatherhaven.core.model.NodeId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What an entry node has seen of the targets that it routes to.
 *
 * @param targets figures by node
 */
public record RoutingState(PMap<NodeId, TargetStats> targets) {

    /** The state of a node that has not routed anything. */
    public static final RoutingState EMPTY = new RoutingState(HashTreePMap.empty());

    TargetStats of(NodeId id, Instant now) {
        TargetStats known = targets.get(id);
        return known == null ? new TargetStats(0, 0, 0, Instant.MIN, now) : known;
    }

    RoutingState with(NodeId id, TargetStats stats) {
        return new RoutingState(targets.plus(id, stats));
    }
}
