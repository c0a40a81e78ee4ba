package org.heatherhaven.core.logic.callgraph;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Estimates how many calls of each route a target makes per run of each route.
 *
 * <p>Calls need not name the run that made them. Over many short windows, the number of calls of a route is the sum of
 * the numbers of runs, each times its ratio of calls per run. Non-negative least squares finds these ratios. Older
 * windows decay, so that the estimate follows changes of the target's program.
 */
public final class CallGraphLogic {

    /** Length of a window; longer than most runs, so that most calls fall into the window of their run. */
    private static final Duration WINDOW = Duration.ofMillis(1_000);

    /** Factor by which the weight of a window decays with each further window. */
    private static final double DECAY = 0.95;

    /** Regularization, in squared runs, that keeps the ratios of rarely run routes near zero. */
    private static final double RIDGE = 1.0;

    /** Smallest ratio, in calls per run, that is reported. */
    private static final double MIN_RATIO = 0.1;

    /**
     * Smallest fraction of the calls that a route must explain. Less can't be distinguished from chance, because the
     * calls and runs of a window don't match exactly.
     */
    private static final double MIN_EXPLAINED_FRACTION = 0.1;

    /** Decayed sum below which an entry is removed. */
    private static final double MIN_SUM = 0.01;
    /** Number of passes of the coordinate descent. */
    private static final int SWEEPS = 30;

    private CallGraphLogic() {}

    /**
     * Counts a run that ended at the target.
     *
     * @param state the current call graph state
     * @param route route of the call
     * @return the new state
     */
    public static CallGraphState runEnded(CallGraphState state, String route) {
        return state.withWindowCounts(increment(state.windowRuns(), route), state.windowCalls());
    }

    /**
     * Counts a call made by the target.
     *
     * @param state the current call graph state
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
     * Handles the periodic tick: closes the window when it ends and updates the ratios from its counts.
     *
     * @param state the current call graph state
     * @param now the current time
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
        CallGraphState updated = new CallGraphState(
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                next,
                addProducts(state.runProducts(), state.windowRuns(), state.windowRuns()),
                addProducts(state.callRunProducts(), state.windowCalls(), state.windowRuns()),
                addCounts(state.runTotals(), state.windowRuns()),
                addCounts(state.callTotals(), state.windowCalls()),
                HashTreePMap.empty());
        return updated.withRatios(solve(updated));
    }

    private static PMap<String, Double> addCounts(PMap<String, Double> totals, PMap<String, Integer> counts) {
        PMap<String, Double> next = decayed(totals);
        for (Map.Entry<String, Integer> count : counts.entrySet()) {
            next = next.plus(count.getKey(), next.getOrDefault(count.getKey(), 0.0) + count.getValue());
        }
        return next;
    }

    private static PMap<String, Double> decayed(PMap<String, Double> sums) {
        PMap<String, Double> decayed = HashTreePMap.empty();
        for (Map.Entry<String, Double> sum : sums.entrySet()) {
            double left = sum.getValue() * DECAY;
            decayed = left < MIN_SUM ? decayed : decayed.plus(sum.getKey(), left);
        }
        return decayed;
    }

    /** Decays the sums and adds the product of each row's count and each column's count. */
    private static PMap<String, PMap<String, Double>> addProducts(
            PMap<String, PMap<String, Double>> sums, PMap<String, Integer> rows, PMap<String, Integer> columns) {
        PMap<String, PMap<String, Double>> next = HashTreePMap.empty();
        for (Map.Entry<String, PMap<String, Double>> row : sums.entrySet()) {
            PMap<String, Double> decayed = decayed(row.getValue());
            next = decayed.isEmpty() ? next : next.plus(row.getKey(), decayed);
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

    /** Returns the calls per run, by route of the run and route of the call, without ratios that may be chance. */
    private static PMap<String, PMap<String, Double>> solve(CallGraphState state) {
        PMap<String, PMap<String, Double>> ratios = HashTreePMap.empty();
        for (Map.Entry<String, PMap<String, Double>> call :
                state.callRunProducts().entrySet()) {
            double all = state.callTotals().getOrDefault(call.getKey(), 0.0);
            for (Map.Entry<String, Double> ratio :
                    leastSquares(state.runProducts(), call.getValue()).entrySet()) {
                double explained = ratio.getValue() * state.runTotals().getOrDefault(ratio.getKey(), 0.0);
                if (ratio.getValue() >= MIN_RATIO && explained >= MIN_EXPLAINED_FRACTION * all) {
                    PMap<String, Double> ratiosOfRun = ratios.getOrDefault(ratio.getKey(), HashTreePMap.empty());
                    ratios = ratios.plus(ratio.getKey(), ratiosOfRun.plus(call.getKey(), ratio.getValue()));
                }
            }
        }
        return ratios;
    }

    /**
     * Non-negative least squares by coordinate descent: each ratio in turn is fitted to what the others don't explain.
     */
    private static Map<String, Double> leastSquares(
            PMap<String, PMap<String, Double>> runProducts, PMap<String, Double> callRunProducts) {
        Map<String, Double> ratios = new HashMap<>();
        for (int sweep = 0; sweep < SWEEPS; sweep++) {
            for (Map.Entry<String, PMap<String, Double>> run : runProducts.entrySet()) {
                String route = run.getKey();
                double unexplained = callRunProducts.getOrDefault(route, 0.0);
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
