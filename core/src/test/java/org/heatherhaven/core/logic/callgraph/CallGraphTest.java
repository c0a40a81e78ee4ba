package org.heatherhaven.core.logic.callgraph;

import java.time.Duration;
import java.time.Instant;
import java.util.SplittableRandom;

import net.jqwik.api.Example;
import org.pcollections.HashTreePMap;

/** The calls that a target makes are ascribed to the routes that cause them, though no call says so. */
class CallGraphTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final int WINDOWS = 40;

    /** A target of two routes, of which only one makes calls, as in a service that is also read by others. */
    private static CallGraphState learn(double[] ranPerWindow, int callsOfSecond, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        CallGraphState state = CallGraphState.EMPTY;
        Instant now = START;
        for (int window = 0; window < WINDOWS; window++) {
            state = CallGraphLogic.tick(state, now);
            for (int i = 0; i < ranPerWindow[0] * (0.5 + random.nextDouble()); i++) {
                state = CallGraphLogic.runEnded(state, "view");
            }
            for (int i = 0; i < ranPerWindow[1] * (0.5 + random.nextDouble()); i++) {
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
    void theRouteThatMakesNoCallsIsNotSuspected() {
        CallGraphState state = learn(new double[] {13, 15}, 4, 1);
        double ratio = state.ratios().get("lookup").get("card");
        if (Math.abs(ratio - 4) > 0.4 || state.ratios().containsKey("view")) {
            throw new AssertionError("learned " + state.ratios());
        }
    }

    /** As in a guide service at full load: many lookups with calls of their own, some of which fall into the next window. */
    @Example
    void aSmallRouteBesideALargeCallerIsNotSuspectedForCallsThatFallIntoTheNextWindow() {
        for (long seed = 1; seed <= 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            CallGraphState state = CallGraphState.EMPTY;
            Instant now = START;
            int late = 0;
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
                for (int i = 0; i < calls - next + late; i++) {
                    state = CallGraphLogic.callMade(state, "card");
                }
                late = next;
                now = now.plus(Duration.ofSeconds(1));
                state = CallGraphLogic.tick(state, now);
            }
            if (state.ratios().containsKey("view") || !state.ratios().containsKey("lookup")) {
                throw new AssertionError("seed " + seed + " learned " + state.ratios());
            }
        }
    }

    @Example
    void aTargetThatMakesNoCallsHasNoRatios() {
        CallGraphState state = learn(new double[] {13, 15}, 0, 2);
        if (!state.ratios().isEmpty()) {
            throw new AssertionError("learned " + state.ratios());
        }
    }

    @Example
    void whatIsNoLongerCalledIsForgotten() {
        CallGraphState state = learn(new double[] {5, 15}, 4, 3);
        Instant now = START.plusSeconds(WINDOWS + 1);
        for (int window = 0; window < 3 * WINDOWS; window++) {
            for (int i = 0; i < 15; i++) {
                state = CallGraphLogic.runEnded(state, "lookup");
            }
            now = now.plusSeconds(1);
            state = CallGraphLogic.tick(state, now);
        }
        if (state.ratios().getOrDefault("lookup", HashTreePMap.empty()).containsKey("card")) {
            throw new AssertionError("still known: " + state.ratios());
        }
    }
}
