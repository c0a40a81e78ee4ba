package org.heatherhaven.core.logic.callgraph;

import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What a node has learned of the calls that its target makes.
 *
 * @param windowRuns runs that ended in the present window, by route
 * @param windowCalls calls that the target made in the present window, by route
 * @param windowEndsAt end of the present window
 * @param runProducts decayed sums of products of runs, by two routes
 * @param callRunProducts decayed sums of products of calls and runs, by route of the call and route of the run
 * @param runTotals decayed numbers of runs, by route
 * @param callTotals decayed numbers of calls, by route
 * @param ratios calls for one run, by route of the run and route of the call
 */
public record CallGraphState(
        PMap<String, Integer> windowRuns,
        PMap<String, Integer> windowCalls,
        Instant windowEndsAt,
        PMap<String, PMap<String, Double>> runProducts,
        PMap<String, PMap<String, Double>> callRunProducts,
        PMap<String, Double> runTotals,
        PMap<String, Double> callTotals,
        PMap<String, PMap<String, Double>> ratios) {

    /** The state of a node that has seen nothing. */
    public static final CallGraphState EMPTY = new CallGraphState(
            HashTreePMap.empty(),
            HashTreePMap.empty(),
            Instant.MIN,
            HashTreePMap.empty(),
            HashTreePMap.empty(),
            HashTreePMap.empty(),
            HashTreePMap.empty(),
            HashTreePMap.empty());

    CallGraphState withWindowCounts(PMap<String, Integer> nextRan, PMap<String, Integer> nextCalled) {
        return new CallGraphState(
                nextRan, nextCalled, windowEndsAt, runProducts, callRunProducts, runTotals, callTotals, ratios);
    }

    CallGraphState withRatios(PMap<String, PMap<String, Double>> next) {
        return new CallGraphState(
                windowRuns, windowCalls, windowEndsAt, runProducts, callRunProducts, runTotals, callTotals, next);
    }
}
