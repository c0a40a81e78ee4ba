package org.heatherhaven.core.logic.pressure;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.Route;
import org.heatherhaven.core.model.Team;

/**
 * Which root requests a pressure shuts out: the least urgent first, each level of urgency by and by.
 *
 * <p>Answers a surge that a deep, small service can't carry: only routes that lead there hear its pressure, and all
 * nodes shut out the same part of the same levels, before any work is done for them.
 */
public final class ShedRule {

    /** Part of each level that is always let in, so that the end of an overload is noticed. */
    private static final double PROBE_FRACTION = 0.02;

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(400);
    private static final Duration MAX_RETRY_AFTER = Duration.ofMillis(2_500);

    private ShedRule() {}

    /**
     * Urgency of a request: what its team says goes before what its route says.
     *
     * @param team importance of its team, that of the route if the team has none
     * @param route importance of its route
     * @return the smaller the more urgent
     */
    public static int urgency(Importance team, Importance route) {
        return team.rank() * Importance.values().length + route.rank();
    }

    /**
     * All urgencies that root requests with a key can have.
     *
     * @param routes routes of the policy
     * @param teams teams of the policy
     * @return ascending, so that the least urgent comes last
     */
    public static List<Integer> levels(Collection<Route> routes, Collection<Team> teams) {
        TreeSet<Integer> levels = new TreeSet<>();
        for (Route route : routes) {
            if (route.open()) {
                continue;
            }
            for (Team team : teams) {
                levels.add(urgency(team.importance().orElse(route.importance()), route.importance()));
            }
        }
        return List.copyOf(levels);
    }

    /**
     * Part of the requests of one urgency that is shut out.
     *
     * @param pressure from 0 to {@link RoutePressure#FULL}
     * @param urgency urgency of the requests
     * @param levels all urgencies there are
     * @return from 0 to nearly 1
     */
    public static double shedFraction(int pressure, int urgency, List<Integer> levels) {
        int index = levels.indexOf(urgency);
        int above = index < 0 ? 0 : levels.size() - 1 - index;
        double part = (double) pressure / RoutePressure.FULL * Math.max(1, levels.size()) - above;
        return Math.max(0, Math.min(1 - PROBE_FRACTION, part));
    }

    /**
     * When a request that was shut out may come back: later the more are shut out, and spread, so that they don't all
     * come at once.
     *
     * @param part part of its level that is shut out
     * @param point where the request lies between 0 and 1
     * @return the delay
     */
    public static Duration retryAfter(double part, double point) {
        long span = MAX_RETRY_AFTER.minus(MIN_RETRY_AFTER).toMillis();
        return MIN_RETRY_AFTER.plusMillis((long) (span * part * (0.5 + point) / 1.5));
    }
}
