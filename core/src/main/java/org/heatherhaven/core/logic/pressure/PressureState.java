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
 * @param keeps reports by route, team and importance
 */
public record PressureState(PMap<Source, Report> keeps) {

    /** The state of a node that has heard of no overload. */
    public static final PressureState EMPTY = new PressureState(HashTreePMap.empty());

    /** A report without a successor for this long is void, so that recovery is noticed without answers. */
    static final Duration REPORT_LIFE = Duration.ofMillis(300);

    private static final double WEIGHT_OF_NEW = 0.3;

    /**
     * What a report is about.
     *
     * @param route the route
     * @param team the team
     * @param importance importance of the requests
     */
    public record Source(String route, String team, Importance importance) {
        private static final int PRIME = 31;

        @Override
        public boolean equals(Object other) {
            return other instanceof Source that
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
     * @param keep cohorts that can be served, of {@link Signal#BUCKETS}
     * @param at when it was last renewed
     */
    public record Report(double keep, Instant at) {}

    /**
     * Takes the signal of an answer.
     *
     * @param source what it is about
     * @param keep cohorts that can be served
     * @param now current time
     * @return the new state
     */
    public PressureState heard(Source source, int keep, Instant now) {
        Report known = keeps.get(source);
        if (known == null && keep >= Signal.BUCKETS) {
            return this;
        }
        double before = known == null || expired(known, now) ? Signal.BUCKETS : known.keep();
        double smoothed = before + WEIGHT_OF_NEW * (keep - before);
        if (keep >= Signal.BUCKETS && smoothed > Signal.BUCKETS - 1) {
            return new PressureState(keeps.minus(source));
        }
        return new PressureState(keeps.plus(source, new Report(smoothed, now)));
    }

    /**
     * Number of cohorts that can be served at present.
     *
     * @param source what the question is about
     * @param now current time
     * @return cohorts, of {@link Signal#BUCKETS}
     */
    public int keep(Source source, Instant now) {
        Report known = keeps.get(source);
        return known == null || expired(known, now) ? Signal.BUCKETS : (int) Math.ceil(known.keep());
    }

    /**
     * Drops void reports.
     *
     * @param now current time
     * @return the new state
     */
    public PressureState prune(Instant now) {
        PMap<Source, Report> live = keeps;
        for (Source source : keeps.keySet()) {
            if (expired(keeps.get(source), now)) {
                live = live.minus(source);
            }
        }
        return live == keeps ? this : new PressureState(live);
    }

    private static boolean expired(Report report, Instant now) {
        return Duration.between(report.at(), now).compareTo(REPORT_LIFE) > 0;
    }
}
