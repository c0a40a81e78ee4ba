package org.heatherhaven.core.logic.node;

import java.time.Instant;
import java.util.Map;

import org.heatherhaven.core.logic.callgraph.CallGraphState;
import org.heatherhaven.core.logic.pressure.RoutePressure;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** Computes the pressure behind the calls that this node's target makes while it runs a call. */
final class DownstreamPressure {

    private DownstreamPressure() {}

    /**
     * Returns the highest pressure among the routes that a run of each route calls.
     *
     * @param graph estimated calls of each route per run of each route
     * @param reported pressure behind routes, as reported with recent answers
     * @return pressure in thousandths, by route of the run; routes without pressure are left out
     */
    static PMap<String, Integer> byRoute(CallGraphState graph, RoutePressure reported, Instant now) {
        if (reported.reports().isEmpty()) {
            return HashTreePMap.empty();
        }
        PMap<String, Integer> pressures = HashTreePMap.empty();
        for (Map.Entry<String, PMap<String, Double>> callsOfRun : graph.ratios().entrySet()) {
            int highest = 0;
            for (String calledRoute : callsOfRun.getValue().keySet()) {
                highest = Math.max(highest, reported.of(calledRoute, now));
            }
            if (highest > 0) {
                pressures = pressures.plus(callsOfRun.getKey(), highest);
            }
        }
        return pressures;
    }
}
