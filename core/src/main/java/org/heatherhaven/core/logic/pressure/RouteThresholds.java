package org.heatherhaven.core.logic.pressure;

import java.time.Duration;
import java.time.Instant;

import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.Signal;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Admission thresholds of routes, as reported with recent answers and smoothed by this node.
 *
 * @param reports latest reports by route, team and importance
 */
public record RouteThresholds(PMap<RouteClass, Report> reports) {

    /** State of a node that has received no report of overload. */
    public static final RouteThresholds EMPTY = new RouteThresholds(HashTreePMap.empty());

    /** Age at which a report expires, so that recovery is noticed even while a route sends no answers. */
    static final Duration REPORT_TTL = Duration.ofMillis(300);

    /** Weight of the latest report. */
    private static final double SMOOTHING = 0.3;

    /**
     * Class of requests that a report is about.
     *
     * @param route route of the requests
     * @param team team that the requests run for
     * @param importance importance of the requests
     */
    public record RouteClass(String route, String team, Importance importance) {
        private static final int PRIME = 31;

        @Override
        public boolean equals(Object other) {
            return other instanceof RouteClass that
                    && route.equals(that.route)
                    && team.equals(that.team)
                    && importance == that.importance;
        }

        @Override
        public int hashCode() {
            return PRIME * (PRIME * route.hashCode() + team.hashCode()) + importance.hashCode();
        }
    }

    /**
     * A smoothed report of an admission threshold.
     *
     * @param threshold number of hash buckets that can be served, of {@link Signal#BUCKETS}
     * @param at time of the last report that entered it
     */
    public record Report(double threshold, Instant at) {}

    /**
     * Adds the threshold that was reported with an answer to the smoothed report of its class.
     *
     * @param routeClass class of the requests
     * @param threshold number of hash buckets that can be served, of {@link Signal#BUCKETS}
     * @param now the current time
     * @return the new state
     */
    public RouteThresholds withReport(RouteClass routeClass, int threshold, Instant now) {
        Report latest = reports.get(routeClass);
        if (latest == null && threshold >= Signal.BUCKETS) {
            return this;
        }
        double previous = latest == null || expired(latest, now) ? Signal.BUCKETS : latest.threshold();
        double smoothed = previous + SMOOTHING * (threshold - previous);
        if (threshold >= Signal.BUCKETS && smoothed > Signal.BUCKETS - 1) {
            return new RouteThresholds(reports.minus(routeClass));
        }
        return new RouteThresholds(reports.plus(routeClass, new Report(smoothed, now)));
    }

    /**
     * Returns the current admission threshold of a class of requests.
     *
     * @param routeClass class of the requests
     * @param now the current time
     * @return number of hash buckets to admit, all {@link Signal#BUCKETS} without a valid report
     */
    public int threshold(RouteClass routeClass, Instant now) {
        Report latest = reports.get(routeClass);
        return latest == null || expired(latest, now) ? Signal.BUCKETS : (int) Math.ceil(latest.threshold());
    }

    /**
     * Removes expired reports.
     *
     * @param now the current time
     * @return the new state
     */
    public RouteThresholds prune(Instant now) {
        PMap<RouteClass, Report> valid = reports;
        for (RouteClass routeClass : reports.keySet()) {
            if (expired(reports.get(routeClass), now)) {
                valid = valid.minus(routeClass);
            }
        }
        return valid == reports ? this : new RouteThresholds(valid);
    }

    private static boolean expired(Report report, Instant now) {
        return Duration.between(report.at(), now).compareTo(REPORT_TTL) > 0;
    }
}
