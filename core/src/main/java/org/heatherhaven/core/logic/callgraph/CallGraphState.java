package org.heatherhaven.core.logic.callgraph;

import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Estimate of the calls that a target makes per run, with the sums that it is computed from.
 *
 * @param windowRuns number of runs that ended in the current window, by route
 * @param windowCalls number of calls that the target made in the current window, by route
 * @param windowEndsAt end of the current window
 * @param runProducts decayed sums of products of the numbers of runs of two routes, by both routes
 * @param callRunProducts decayed sums of products of the numbers of calls and runs, by route of the call and route
 *     of the run
 * @param runTotals decayed numbers of runs, by route
 * @param callTotals decayed numbers of calls, by route
 * @param ratios estimated calls per run, by route of the run and route of the call
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

    /** State of a node that has counted no runs or calls. */
    public static final CallGraphState EMPTY = new CallGraphState(
            HashTreePMap.empty(),
            HashTreePMap.empty(),
            Instant.MIN,
            HashTreePMap.empty(),
            HashTreePMap.empty(),
            HashTreePMap.empty(),
            HashTreePMap.empty(),
            HashTreePMap.empty());

    CallGraphState withWindowCounts(PMap<String, Integer> nextRuns, PMap<String, Integer> nextCalls) {
        return new CallGraphState(
                nextRuns, nextCalls, windowEndsAt, runProducts, callRunProducts, runTotals, callTotals, ratios);
    }

    CallGraphState withRatios(PMap<String, PMap<String, Double>> next) {
        return new CallGraphState(
                windowRuns, windowCalls, windowEndsAt, runProducts, callRunProducts, runTotals, callTotals, next);
    }
}
