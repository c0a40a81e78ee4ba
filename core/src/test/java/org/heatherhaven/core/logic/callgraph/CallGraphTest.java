package org.heatherhaven.core.logic.callgraph;

import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;

import net.jqwik.api.Example;
import org.pcollections.HashTreePMap;

/** Checks that calls of a target are attributed to the routes that cause them, though no call names its run. */
class CallGraphTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final int WINDOWS = 40;

    /** Simulates a target with two routes, of which only the second makes calls, and returns the estimate. */
    private static CallGraphState estimate(double[] runsPerWindow, int callsOfSecond, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        CallGraphState state = CallGraphState.EMPTY;
        Instant now = START;
        for (int window = 0; window < WINDOWS; window++) {
            state = CallGraphLogic.tick(state, now);
            for (int i = 0; i < runsPerWindow[0] * (0.5 + random.nextDouble()); i++) {
                state = CallGraphLogic.runEnded(state, "view");
            }
            for (int i = 0; i < runsPerWindow[1] * (0.5 + random.nextDouble()); i++) {
                state = CallGraphLogic.runEnded(state, "lookup");
                for (int call = 0; call < callsOfSecond; call++) {
                    state = CallGraphLogic.callMade(state, "card");
                }
            }
            now = now.plus(Duration.ofSeconds(1));
        }
        return CallGraphLogic.tick(state, now);
    }

    @Example
    void aRouteThatMakesNoCallsGetsNoRatio() {
        CallGraphState state = estimate(new double[] {13, 15}, 4, 1);
        double ratio = state.ratios().get("lookup").get("card");
        if (Math.abs(ratio - 4) > 0.4 || state.ratios().containsKey("view")) {
            throw new AssertionError("estimated " + state.ratios());
        }
    }

    /** A fifth to a third of the calls of the larger route are counted one window after their runs. */
    @Example
    void aSmallRouteGetsNoRatioForCallsOfALargerRouteThatFallIntoTheNextWindow() {
        for (long seed = 1; seed <= 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            CallGraphState state = CallGraphState.EMPTY;
            Instant now = START;
            int delayed = 0;
            for (int window = 0; window < WINDOWS; window++) {
                int views = 36 + random.nextInt(15);
                int lookups = 160 + random.nextInt(60);
                int calls = 4 * lookups;
                int next = (int) (calls * (0.2 + 0.1 * random.nextDouble()));
                for (int i = 0; i < views; i++) {
                    state = CallGraphLogic.runEnded(state, "view");
                }
                for (int i = 0; i < lookups; i++) {
                    state = CallGraphLogic.runEnded(state, "lookup");
                }
                for (int i = 0; i < calls - next + delayed; i++) {
                    state = CallGraphLogic.callMade(state, "card");
                }
                delayed = next;
                now = now.plus(Duration.ofSeconds(1));
                state = CallGraphLogic.tick(state, now);
            }
            if (state.ratios().containsKey("view") || !state.ratios().containsKey("lookup")) {
                throw new AssertionError("seed " + seed + " estimated " + state.ratios());
            }
        }
    }

    @Example
    void aTargetThatMakesNoCallsHasNoRatios() {
        CallGraphState state = estimate(new double[] {13, 15}, 0, 2);
        if (!state.ratios().isEmpty()) {
            throw new AssertionError("estimated " + state.ratios());
        }
    }

    @Example
    void theRatioOfACallThatIsNoLongerMadeIsRemoved() {
        CallGraphState state = estimate(new double[] {5, 15}, 4, 3);
        Instant now = START.plusSeconds(WINDOWS + 1);
        for (int window = 0; window < 3 * WINDOWS; window++) {
            for (int i = 0; i < 15; i++) {
                state = CallGraphLogic.runEnded(state, "lookup");
            }
            now = now.plusSeconds(1);
            state = CallGraphLogic.tick(state, now);
        }
        if (state.ratios().getOrDefault("lookup", HashTreePMap.empty()).containsKey("card")) {
            throw new AssertionError("still estimated: " + state.ratios());
        }
    }
}
