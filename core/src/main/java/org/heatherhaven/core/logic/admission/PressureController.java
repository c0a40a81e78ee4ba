package org.heatherhaven.core.logic.admission;

import java.time.Duration;

import org.heatherhaven.core.logic.pressure.RoutePressure;

/**
 * Measures how far the calls that come exceed what a target can do, and turns it into a pressure.
 *
 * <p>The pressure rises while more work comes than fits and falls while there is room; at the right pressure what comes
 * just fits. It moves slowly against the time in which shed requests make themselves felt behind several calls.
 *
 * @param arrivals calls that came in the present window
 * @param arrivalRate calls that come a second, smoothed
 * @param level pressure, from 0 to 1
 */
record PressureController(int arrivals, double arrivalRate, double level) {

    static final PressureController INITIAL = new PressureController(0, 0, 0);

    /** Part of the target's capacity that work may take. */
    private static final double TARGET_UTILIZATION = 0.95;

    private static final double SMOOTHING = 0.25;

    /**
     * Change a second for work that exceeds the aim by the whole capacity. What is shut out is missed here only about a
     * second later; a steeper change would overshoot by more than it corrects.
     */
    private static final double GAIN = 0.18;

    private static final double MAX_EXCESS = 1.0;
    private static final double NANOS_PER_SECOND = 1e9;

    PressureController withArrival() {
        return new PressureController(arrivals + 1, arrivalRate, level);
    }

    /**
     * Closes a window.
     *
     * <p>Without a queue there is room, however long the runs take: a target whose runs wait for others is not short of
     * anything itself.
     */
    PressureController windowClosed(Duration window, double limit, Duration serviceTime, boolean queued) {
        double seconds = window.toNanos() / NANOS_PER_SECOND;
        double smoothed = arrivalRate + SMOOTHING * (arrivals / seconds - arrivalRate);
        double busy = smoothed * serviceTime.toNanos() / NANOS_PER_SECOND / Math.max(1, limit);
        double excess = Math.max(-MAX_EXCESS, Math.min(MAX_EXCESS, busy - TARGET_UTILIZATION));
        double change = GAIN * (queued ? excess : Math.min(0, excess));
        double next = Math.max(0, Math.min(1, level + change * seconds));
        return new PressureController(0, smoothed, next);
    }

    int pressure() {
        return (int) Math.round(level * RoutePressure.FULL);
    }
}
