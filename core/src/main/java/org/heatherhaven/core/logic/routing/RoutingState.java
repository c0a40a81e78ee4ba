package org.heatherhaven.core.logic.routing;

import java.time.Instant;

import org.heatherhaven.core.model.NodeId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Statistics that an entry node keeps of the targets to which it routes calls.
 *
 * @param targets statistics by node of the target
 */
public record RoutingState(PMap<NodeId, TargetStats> targets) {

    /** State of a node that has not routed any calls. */
    public static final RoutingState EMPTY = new RoutingState(HashTreePMap.empty());

    TargetStats of(NodeId id, Instant now) {
        TargetStats known = targets.get(id);
        return known == null ? new TargetStats(0, 0, 0, Instant.MIN, now) : known;
    }

    RoutingState with(NodeId id, TargetStats stats) {
        return new RoutingState(targets.plus(id, stats));
    }
}
