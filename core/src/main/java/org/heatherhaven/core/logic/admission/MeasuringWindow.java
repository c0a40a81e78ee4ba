package org.heatherhaven.core.logic.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;

import org.pcollections.PMap;

/** Derives the limits of admission from the counts of a measuring window when it ends. */
final class MeasuringWindow {

    /** Length of a measuring window. */
    static final Duration WINDOW = Duration.ofMillis(100);
    /** Weight of the latest saturated window in the smoothed capacity. */
    private static final double CAPACITY_SMOOTHING = 0.3;
    /** Factor by which the numbers of started calls of the teams decay with each window. */
    private static final double SERVED_DECAY = 0.9;
    /** Decayed number of started calls below which a team is removed. */
    private static final double MIN_SERVED = 0.01;
    /** Factor on the concurrency limit after a window with too many failures, for targets that report no slots. */
    private static final double LIMIT_DECREASE_FACTOR = 0.9;
    /** Fraction of the calls ended in a window that may fail without lowering the limit; one always may. */
    private static final double TOLERATED_FAILURE_FRACTION = 0.1;

    private MeasuringWindow() {}

    /** Updates the limit, the pressure, the capacity and the thresholds from the counts of the window that ends. */
    static AdmissionState close(AdmissionState state, Instant now) {
        WindowCounts counts = state.windowCounts();
        AdmissionState next = state;
        int finished = counts.completions() + counts.failures();
        if (!state.target().reportsSlots() && counts.failures() > Math.max(1, finished * TOLERATED_FAILURE_FRACTION)) {
            next = next.withLimit(Math.max(QueueRules.MIN_LIMIT, next.limit() * LIMIT_DECREASE_FACTOR));
        }
        next = next.withServed(decayServed(next))
                .withPressureController(next.pressureController()
                        .windowClosed(WINDOW, next.limit(), next.serviceTime(), counts.saturated()));
        if (!counts.saturated() || !next.mode().shedsBuckets()) {
            return next.withWindow(next.capacity(), next.thresholds().relaxed(), now.plus(WINDOW));
        }
        double capacity = next.capacity() == 0
                ? counts.completions()
                : next.capacity() + CAPACITY_SMOOTHING * (counts.completions() - next.capacity());
        // Half of what the queue lacks to be half full is admitted in addition to the calls that the target answers.
        double room = capacity
                + Math.max(0, QueueRules.capacity(next) / 2.0 - next.queue().size()) / 2;
        AdmissionThresholds nextThresholds = next.thresholds().adjusted(counts.arrivals(), room);
        return next.withWindow(capacity, nextThresholds, now.plus(WINDOW));
    }

    private static PMap<String, Double> decayServed(AdmissionState state) {
        PMap<String, Double> served = state.served();
        for (Map.Entry<String, Double> entry : state.served().entrySet()) {
            double left = entry.getValue() * SERVED_DECAY;
            served = left < MIN_SERVED ? served.minus(entry.getKey()) : served.plus(entry.getKey(), left);
        }
        return served;
    }
}
