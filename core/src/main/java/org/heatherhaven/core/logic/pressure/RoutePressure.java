package org.heatherhaven.core.logic.pressure;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Pressure of the targets behind each route, as reported with recent answers and smoothed by this node.
 *
 * @param reports latest reports, by route
 */
public record RoutePressure(PMap<String, Report> reports) {

    /** State of a node that has received no reports. */
    public static final RoutePressure EMPTY = new RoutePressure(HashTreePMap.empty());

    /** Highest pressure, in thousandths: nothing but probe requests is admitted. */
    public static final int FULL = 1_000;

    /** Weight of the latest report. */
    private static final double SMOOTHING = 0.2;

    /**
     * Time in which a report without successor decays to a half, once it is older than this. So nodes that admit almost
     * nothing, and receive few answers, still detect the end of an overload.
     */
    private static final Duration HALF_LIFE = Duration.ofMillis(700);

    /** Pressure in thousandths below which a decayed report counts as none. */
    private static final int NEGLIGIBLE = 4;

    /**
     * A smoothed report of a pressure.
     *
     * @param pressure pressure in thousandths, from 0 to {@link #FULL}
     * @param at time of the last report that entered it
     */
    public record Report(double pressure, Instant at) {}

    /**
     * Adds the pressure that was reported with an answer to the smoothed report of its route.
     *
     * @param route route of the call
     * @param pressure reported pressure in thousandths, from 0 to {@link #FULL}
     * @param now the current time
     * @return the new state
     */
    public RoutePressure withReport(String route, int pressure, Instant now) {
        int previous = of(route, now);
        if (previous == 0 && pressure == 0) {
            return reports.containsKey(route) ? new RoutePressure(reports.minus(route)) : this;
        }
        double smoothed = previous + SMOOTHING * (pressure - previous);
        return new RoutePressure(reports.plus(route, new Report(smoothed, now)));
    }

    /**
     * Returns the current pressure behind a route.
     *
     * @param route the route
     * @param now the current time
     * @return pressure in thousandths, from 0 to {@link #FULL}
     */
    public int of(String route, Instant now) {
        Report latest = reports.get(route);
        if (latest == null) {
            return 0;
        }
        double halfLives = (double) Duration.between(latest.at(), now).toMillis() / HALF_LIFE.toMillis();
        double decayed = latest.pressure() * Math.pow(0.5, Math.max(0, halfLives - 1));
        return decayed < NEGLIGIBLE ? 0 : (int) Math.round(decayed);
    }

    /**
     * Removes reports that have decayed to a negligible pressure.
     *
     * @param now the current time
     * @return the new state
     */
    public RoutePressure prune(Instant now) {
        PMap<String, Report> valid = reports;
        for (Map.Entry<String, Report> entry : reports.entrySet()) {
            if (of(entry.getKey(), now) == 0) {
                valid = valid.minus(entry.getKey());
            }
        }
        return valid == reports ? this : new RoutePressure(valid);
    }
}
