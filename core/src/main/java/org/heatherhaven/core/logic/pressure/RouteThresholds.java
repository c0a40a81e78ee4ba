package org.heatherhaven.core.logic.pressure;

import java.time.Duration;
import java.time.Instant;

import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.Signal;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * How many cohorts each route can serve for each team, as reported with recent answers.
 *
 * @param reports reports by route, team and importance
 */
public record RouteThresholds(PMap<RouteClass, Report> reports) {

    /** The state of a node that has heard of no overload. */
    public static final RouteThresholds EMPTY = new RouteThresholds(HashTreePMap.empty());

    /** A report without a successor for this long is void, so that recovery is noticed without answers. */
    static final Duration REPORT_TTL = Duration.ofMillis(300);

    private static final double SMOOTHING = 0.3;

    /**
     * What a report is about.
     *
     * @param route the route
     * @param team the team
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
     * A smoothed report.
     *
     * @param threshold cohorts that can be served, of {@link Signal#COHORTS}
     * @param at when it was last renewed
     */
    public record Report(double threshold, Instant at) {}

    /**
     * Takes the signal of an answer.
     *
     * @param source what it is about
     * @param threshold cohorts that can be served
     * @param now current time
     * @return the new state
     */
    public RouteThresholds withReport(RouteClass source, int keep, Instant now) {
        Report known = reports.get(source);
        if (known == null && keep >= Signal.COHORTS) {
            return this;
        }
        double before = known == null || expired(known, now) ? Signal.COHORTS : known.threshold();
        double smoothed = before + SMOOTHING * (keep - before);
        if (keep >= Signal.COHORTS && smoothed > Signal.COHORTS - 1) {
            return new RouteThresholds(reports.minus(source));
        }
        return new RouteThresholds(reports.plus(source, new Report(smoothed, now)));
    }

    /**
     * Number of cohorts that can be served at present.
     *
     * @param source what the question is about
     * @param now current time
     * @return cohorts, of {@link Signal#COHORTS}
     */
    public int threshold(RouteClass source, Instant now) {
        Report known = reports.get(source);
        return known == null || expired(known, now) ? Signal.COHORTS : (int) Math.ceil(known.threshold());
    }

    /**
     * Drops void reports.
     *
     * @param now current time
     * @return the new state
     */
    public RouteThresholds prune(Instant now) {
        PMap<RouteClass, Report> live = reports;
        for (RouteClass source : reports.keySet()) {
            if (expired(reports.get(source), now)) {
                live = live.minus(source);
            }
        }
        return live == reports ? this : new RouteThresholds(live);
    }

    private static boolean expired(Report report, Instant now) {
        return Duration.between(report.at(), now).compareTo(REPORT_TTL) > 0;
    }
}
