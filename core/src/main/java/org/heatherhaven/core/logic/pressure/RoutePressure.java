package org.heatherhaven.core.logic.pressure;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * How hard pressed the targets behind each route are, as reported with recent answers.
 *
 * @param reports latest reports, by route
 */
public record RoutePressure(PMap<String, Report> reports) {

    /** The state of a node that has heard nothing. */
    public static final RoutePressure EMPTY = new RoutePressure(HashTreePMap.empty());

    /** Pressure at which nothing more is let in. */
    public static final int FULL = 1_000;

    private static final double SMOOTHING = 0.2;

    /** Without answers a report fades, so that the end of an overload is noticed by those that let nothing in. */
    private static final Duration HALF_LIFE = Duration.ofMillis(700);

    private static final int NEGLIGIBLE = 4;

    /**
     * A smoothed report.
     *
     * @param pressure from 0 to {@link #FULL}
     * @param at when it was heard
     */
    public record Report(double pressure, Instant at) {}

    /**
     * Takes the report that came with an answer.
     *
     * @param route route of the call
     * @param pressure from 0 to {@link #FULL}
     * @param now the time
     * @return the new state
     */
    public RoutePressure withReport(String route, int pressure, Instant now) {
        int before = of(route, now);
        if (before == 0 && pressure == 0) {
            return reports.containsKey(route) ? new RoutePressure(reports.minus(route)) : this;
        }
        double smoothed = before + SMOOTHING * (pressure - before);
        return new RoutePressure(reports.plus(route, new Report(smoothed, now)));
    }

    /**
     * Pressure behind a route at present.
     *
     * @param route the route
     * @param now the time
     * @return from 0 to {@link #FULL}
     */
    public int of(String route, Instant now) {
        Report known = reports.get(route);
        if (known == null) {
            return 0;
        }
        double ages = (double) Duration.between(known.at(), now).toMillis() / HALF_LIFE.toMillis();
        double faded = known.pressure() * Math.pow(0.5, Math.max(0, ages - 1));
        return faded < NEGLIGIBLE ? 0 : (int) Math.round(faded);
    }

    /**
     * Forgets reports that have faded away.
     *
     * @param now the time
     * @return the new state
     */
    public RoutePressure prune(Instant now) {
        PMap<String, Report> live = reports;
        for (Map.Entry<String, Report> entry : reports.entrySet()) {
            if (of(entry.getKey(), now) == 0) {
                live = live.minus(entry.getKey());
            }
        }
        return live == reports ? this : new RoutePressure(live);
    }
}
