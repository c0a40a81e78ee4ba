package org.heatherhaven.core.logic.admission;

import java.time.Duration;

import org.heatherhaven.core.logic.pressure.RoutePressure;

/**
 * Integral controller that derives the pressure of a target from how far the arriving work exceeds its capacity.
 *
 * <p>The pressure rises while more work arrives than the target can process and falls while it has spare capacity; in
 * equilibrium the work that is still admitted just fits. It changes slowly compared with the delay after which shedding
 * at the entry nodes reduces the arrivals at a target several calls further down.
 *
 * @param arrivals number of first attempts that arrived in the current window
 * @param arrivalRate smoothed arrivals per second
 * @param level the pressure, from 0 to 1
 */
record PressureController(int arrivals, double arrivalRate, double level) {

    static final PressureController INITIAL = new PressureController(0, 0, 0);

    /** Utilization of the target that the controller aims for, as a fraction of its capacity. */
    private static final double DESIRED_UTILIZATION = 0.95;

    /** Weight of the latest window in the smoothed arrival rate. */
    private static final double SMOOTHING = 0.25;

    /**
     * Change of the level per second when the utilization exceeds its target by the whole capacity. Requests shed at
     * the entry nodes reduce the arrivals here only about a second later, so that a larger gain would overshoot by more
     * than it corrects.
     */
    private static final double GAIN = 0.18;

    /** Bound of the excess and the shortfall of the utilization that one window counts. */
    private static final double MAX_EXCESS = 1.0;

    private static final double NANOS_PER_SECOND = 1e9;

    PressureController withArrival() {
        return new PressureController(arrivals + 1, arrivalRate, level);
    }

    /**
     * Closes a measuring window and updates the arrival rate and the level.
     *
     * <p>The level only rises if calls were queued. Without a queue the target has spare capacity however long its runs
     * take, because a target whose runs wait for other services is not itself a bottleneck.
     *
     * @param window length of the window
     * @param limit concurrency limit of the target, in calls
     * @param serviceTime smoothed time that the target takes for a call
     * @param queued true if a call could not start at once within the window
     * @return the controller at the start of the next window
     */
    PressureController windowClosed(Duration window, double limit, Duration serviceTime, boolean queued) {
        double seconds = window.toNanos() / NANOS_PER_SECOND;
        double smoothed = arrivalRate + SMOOTHING * (arrivals / seconds - arrivalRate);
        double utilization = smoothed * serviceTime.toNanos() / NANOS_PER_SECOND / Math.max(1, limit);
        double excess = Math.max(-MAX_EXCESS, Math.min(MAX_EXCESS, utilization - DESIRED_UTILIZATION));
        double change = GAIN * (queued ? excess : Math.min(0, excess));
        double next = Math.max(0, Math.min(1, level + change * seconds));
        return new PressureController(0, smoothed, next);
    }

    /** Returns the pressure in thousandths, from 0 to {@link RoutePressure#FULL}. */
    int pressure() {
        return (int) Math.round(level * RoutePressure.FULL);
    }
}
