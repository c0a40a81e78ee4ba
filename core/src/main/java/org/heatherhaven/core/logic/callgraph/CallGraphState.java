package org.heatherhaven.core.logic.callgraph;

import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What a node has learned of the calls that its target makes.
 *
 * @param ran runs that ended in the present window, by route
 * @param called calls that the target made in the present window, by route
 * @param windowEndsAt end of the present window
 * @param together decayed sums of products of runs, by two routes
 * @param caused decayed sums of products of calls and runs, by route of the call and route of the run
 * @param runs decayed numbers of runs, by route
 * @param calls decayed numbers of calls, by route
 * @param ratios calls for one run, by route of the run and route of the call
 */
public record CallGraphState(
        PMap<String, Integer> ran,
        PMap<String, Integer> called,
        Instant windowEndsAt,
        PMap<String, PMap<String, Double>> together,
        PMap<String, PMap<String, Double>> caused,
        PMap<String, Double> runs,
        PMap<String, Double> calls,
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

    CallGraphState withCounts(PMap<String, Integer> nextRan, PMap<String, Integer> nextCalled) {
        return new CallGraphState(nextRan, nextCalled, windowEndsAt, together, caused, runs, calls, ratios);
    }

    CallGraphState withRatios(PMap<String, PMap<String, Double>> next) {
        return new CallGraphState(ran, called, windowEndsAt, together, caused, runs, calls, next);
    }
}
