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
 * @param rate calls that come a second, smoothed
 * @param level pressure, from 0 to 1
 */
record Gauge(int arrivals, double rate, double level) {

    static final Gauge CALM = new Gauge(0, 0, 0);

    /** Part of the target's capacity that work may take. */
    private static final double AIM = 0.95;

    private static final double SMOOTHING = 0.25;

    /** Rise a second for work of twice the capacity. */
    private static final double RISE = 0.45;

    /** Fall a second for a target without work. */
    private static final double FALL = 0.45;

    /** Rise a second for a queue as long as the target is wide. */
    private static final double QUEUE_RISE = 0.25;

    private static final double LARGEST_EXCESS = 1.0;
    private static final double NANOS_PER_SECOND = 1e9;

    Gauge arrived() {
        return new Gauge(arrivals + 1, rate, level);
    }

    /** Closes a window. */
    Gauge closed(Duration window, double limit, Duration serviceTime, int queued) {
        double seconds = window.toNanos() / NANOS_PER_SECOND;
        double smoothed = rate + SMOOTHING * (arrivals / seconds - rate);
        double busy = smoothed * serviceTime.toNanos() / NANOS_PER_SECOND / Math.max(1, limit);
        double excess = Math.min(LARGEST_EXCESS, busy - AIM);
        double change = excess > 0 ? RISE * excess : FALL * excess;
        change += QUEUE_RISE * Math.min(1, queued / Math.max(1, limit));
        double next = Math.max(0, Math.min(1, level + change * seconds));
        return new Gauge(0, smoothed, next);
    }

    int pressure() {
        return (int) Math.round(level * RoutePressure.FULL);
    }
}
