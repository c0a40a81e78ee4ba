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
    private static final double FADE = 0.95;

    /** Keeps routes that hardly ever run from being given a ratio by chance. */
    private static final double RIDGE = 1.0;

    private static final double SMALLEST_RATIO = 0.1;
    private static final double SMALLEST_SUM = 0.01;
    private static final int SWEEPS = 30;

    private CallGraphLogic() {}

    /**
     * Notes that the target ran a call to its end.
     *
     * @param state the state
     * @param route route of the call
     * @return the new state
     */
    public static CallGraphState ran(CallGraphState state, String route) {
        return state.withCounts(plusOne(state.ran(), route), state.called());
    }

    /**
     * Notes that the target made a call.
     *
     * @param state the state
     * @param route route of the call
     * @return the new state
     */
    public static CallGraphState called(CallGraphState state, String route) {
        return state.withCounts(state.ran(), plusOne(state.called(), route));
    }

    private static PMap<String, Integer> plusOne(PMap<String, Integer> counts, String route) {
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
        if (state.ran().isEmpty()) {
            return new CallGraphState(
                    HashTreePMap.empty(), HashTreePMap.empty(), next, state.together(), state.caused(), state.ratios());
        }
        PMap<String, PMap<String, Double>> together = add(state.together(), state.ran(), state.ran());
        PMap<String, PMap<String, Double>> caused = add(state.caused(), state.called(), state.ran());
        return new CallGraphState(
                HashTreePMap.empty(), HashTreePMap.empty(), next, together, caused, solve(together, caused));
    }

    private static PMap<String, PMap<String, Double>> add(
            PMap<String, PMap<String, Double>> sums, PMap<String, Integer> rows, PMap<String, Integer> columns) {
        PMap<String, PMap<String, Double>> next = HashTreePMap.empty();
        for (Map.Entry<String, PMap<String, Double>> row : sums.entrySet()) {
            PMap<String, Double> faded = HashTreePMap.empty();
            for (Map.Entry<String, Double> cell : row.getValue().entrySet()) {
                double left = cell.getValue() * FADE;
                faded = left < SMALLEST_SUM ? faded : faded.plus(cell.getKey(), left);
            }
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

    private static PMap<String, PMap<String, Double>> solve(
            PMap<String, PMap<String, Double>> together, PMap<String, PMap<String, Double>> caused) {
        PMap<String, PMap<String, Double>> ratios = HashTreePMap.empty();
        for (Map.Entry<String, PMap<String, Double>> call : caused.entrySet()) {
            for (Map.Entry<String, Double> ratio :
                    leastSquares(together, call.getValue()).entrySet()) {
                if (ratio.getValue() >= SMALLEST_RATIO) {
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
