package org.heatherhaven.core.logic.callgraph;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Learns how many calls of each route a target makes for one run of each route.
 *
 * <p>Calls need not say for which run they were made: over many short windows the number of calls is a sum over the runs
 * that began, each with its ratio, and least squares without negative ratios finds these. Windows fade, so that a
 * changed program is learned anew.
 */
public final class CallGraphLogic {

    /** Longer than most runs, so that calls fall into the window of the run they belong to. */
    private static final Duration WINDOW = Duration.ofMillis(1_000);

    /** What is left of a window's weight at the end of the next. */
    private static final double DECAY = 0.95;

    /** Keeps routes that hardly ever run from being given a ratio by chance. */
    private static final double RIDGE = 1.0;

    private static final double MIN_RATIO = 0.1;

    /** A route that explains less of the calls is not told from chance: calls and runs of a window don't match exactly. */
    private static final double MIN_EXPLAINED_FRACTION = 0.1;

    private static final double MIN_SUM = 0.01;
    private static final int SWEEPS = 30;

    private CallGraphLogic() {}

    /**
     * Notes that the target ran a call to its end.
     *
     * @param state the state
     * @param route route of the call
     * @return the new state
     */
    public static CallGraphState runEnded(CallGraphState state, String route) {
        return state.withWindowCounts(increment(state.windowRuns(), route), state.windowCalls());
    }

    /**
     * Notes that the target made a call.
     *
     * @param state the state
     * @param route route of the call
     * @return the new state
     */
    public static CallGraphState callMade(CallGraphState state, String route) {
        return state.withWindowCounts(state.windowRuns(), increment(state.windowCalls(), route));
    }

    private static PMap<String, Integer> increment(PMap<String, Integer> counts, String route) {
        return counts.plus(route, counts.getOrDefault(route, 0) + 1);
    }

    /**
     * Lets time pass: closes the window and learns from it.
     *
     * @param state the state
     * @param now the time
     * @return the new state
     */
    public static CallGraphState tick(CallGraphState state, Instant now) {
        if (now.isBefore(state.windowEndsAt())) {
            return state;
        }
        Instant next = now.plus(WINDOW);
        if (state.windowRuns().isEmpty()) {
            return new CallGraphState(
                    HashTreePMap.empty(),
                    HashTreePMap.empty(),
                    next,
                    state.runProducts(),
                    state.callRunProducts(),
                    state.runTotals(),
                    state.callTotals(),
                    state.ratios());
        }
        CallGraphState learnt = new CallGraphState(
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                next,
                addProducts(state.runProducts(), state.windowRuns(), state.windowRuns()),
                addProducts(state.callRunProducts(), state.windowCalls(), state.windowRuns()),
                addCounts(state.runTotals(), state.windowRuns()),
                addCounts(state.callTotals(), state.windowCalls()),
                HashTreePMap.empty());
        return learnt.withRatios(solve(learnt));
    }

    private static PMap<String, Double> addCounts(PMap<String, Double> totals, PMap<String, Integer> counts) {
        PMap<String, Double> next = decayed(totals);
        for (Map.Entry<String, Integer> count : counts.entrySet()) {
            next = next.plus(count.getKey(), next.getOrDefault(count.getKey(), 0.0) + count.getValue());
        }
        return next;
    }

    private static PMap<String, Double> decayed(PMap<String, Double> sums) {
        PMap<String, Double> faded = HashTreePMap.empty();
        for (Map.Entry<String, Double> sum : sums.entrySet()) {
            double left = sum.getValue() * DECAY;
            faded = left < MIN_SUM ? faded : faded.plus(sum.getKey(), left);
        }
        return faded;
    }

    private static PMap<String, PMap<String, Double>> addProducts(
            PMap<String, PMap<String, Double>> sums, PMap<String, Integer> rows, PMap<String, Integer> columns) {
        PMap<String, PMap<String, Double>> next = HashTreePMap.empty();
        for (Map.Entry<String, PMap<String, Double>> row : sums.entrySet()) {
            PMap<String, Double> faded = decayed(row.getValue());
            next = faded.isEmpty() ? next : next.plus(row.getKey(), faded);
        }
        for (Map.Entry<String, Integer> row : rows.entrySet()) {
            PMap<String, Double> cells = next.getOrDefault(row.getKey(), HashTreePMap.empty());
            for (Map.Entry<String, Integer> column : columns.entrySet()) {
                double product = (double) row.getValue() * column.getValue();
                cells = cells.plus(column.getKey(), cells.getOrDefault(column.getKey(), 0.0) + product);
            }
            next = next.plus(row.getKey(), cells);
        }
        return next;
    }

    private static PMap<String, PMap<String, Double>> solve(CallGraphState state) {
        PMap<String, PMap<String, Double>> ratios = HashTreePMap.empty();
        for (Map.Entry<String, PMap<String, Double>> call :
                state.callRunProducts().entrySet()) {
            double all = state.callTotals().getOrDefault(call.getKey(), 0.0);
            for (Map.Entry<String, Double> ratio :
                    leastSquares(state.runProducts(), call.getValue()).entrySet()) {
                double explained = ratio.getValue() * state.runTotals().getOrDefault(ratio.getKey(), 0.0);
                if (ratio.getValue() >= MIN_RATIO && explained >= MIN_EXPLAINED_FRACTION * all) {
                    PMap<String, Double> known = ratios.getOrDefault(ratio.getKey(), HashTreePMap.empty());
                    ratios = ratios.plus(ratio.getKey(), known.plus(call.getKey(), ratio.getValue()));
                }
            }
        }
        return ratios;
    }

    /** Coordinate descent: each ratio in turn takes what the others leave unexplained, but never less than nothing. */
    private static Map<String, Double> leastSquares(
            PMap<String, PMap<String, Double>> together, PMap<String, Double> caused) {
        Map<String, Double> ratios = new HashMap<>();
        for (int sweep = 0; sweep < SWEEPS; sweep++) {
            for (Map.Entry<String, PMap<String, Double>> run : together.entrySet()) {
                String route = run.getKey();
                double unexplained = caused.getOrDefault(route, 0.0);
                for (Map.Entry<String, Double> other : run.getValue().entrySet()) {
                    if (!other.getKey().equals(route)) {
                        unexplained -= other.getValue() * ratios.getOrDefault(other.getKey(), 0.0);
                    }
                }
                double own = run.getValue().getOrDefault(route, 0.0) + RIDGE;
                ratios.put(route, Math.max(0, unexplained / own));
            }
        }
        return ratios;
    }
}
