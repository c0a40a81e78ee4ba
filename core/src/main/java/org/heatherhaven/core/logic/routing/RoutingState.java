package org.heatherhaven.core.logic.routing;

import java.time.Instant;

import org.heatherhaven.core.model.NodeId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Statistics of an entry node about the targets to which it routes calls.
 *
 * @param targets statistics by node of the target
 */
public record RoutingState(PMap<NodeId, TargetStats> targets) {

    /** State of a node that has not routed any calls. */
    public static final RoutingState EMPTY = new RoutingState(HashTreePMap.empty());

    TargetStats of(NodeId id, Instant now) {
        TargetStats stats = targets.get(id);
        return stats == null ? new TargetStats(0, 0, 0, Instant.MIN, now) : stats;
    }

    RoutingState with(NodeId id, TargetStats stats) {
        return new RoutingState(targets.plus(id, stats));
    }
}
