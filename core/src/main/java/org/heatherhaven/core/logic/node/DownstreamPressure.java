package org.heatherhaven.core.logic.node;

import java.time.Instant;
import java.util.Map;

import org.heatherhaven.core.logic.callgraph.CallGraphState;
import org.heatherhaven.core.logic.pressure.RoutePressure;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** Pressure that a run of each route will meet in the calls that are made for it. */
final class DownstreamPressure {

    private DownstreamPressure() {}

    static PMap<String, Integer> byRoute(CallGraphState graph, RoutePressure heard, Instant now) {
        if (heard.reports().isEmpty()) {
            return HashTreePMap.empty();
        }
        PMap<String, Integer> pressures = HashTreePMap.empty();
        for (Map.Entry<String, PMap<String, Double>> run : graph.ratios().entrySet()) {
            int highest = 0;
            for (String call : run.getValue().keySet()) {
                highest = Math.max(highest, heard.of(call, now));
            }
            if (highest > 0) {
                pressures = pressures.plus(run.getKey(), highest);
            }
        }
        return pressures;
    }
}
