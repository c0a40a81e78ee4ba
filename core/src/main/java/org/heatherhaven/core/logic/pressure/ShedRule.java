package org.heatherhaven.core.logic.pressure;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.Route;
import org.heatherhaven.core.model.Team;

/**
 * Rule by which entry nodes shed root requests under pressure: the least urgent level first, each level gradually.
 *
 * <p>It handles surges that exceed the capacity of a small service deep in the call graph. Only routes that lead to the
 * service receive its pressure, and all nodes shed the same fraction of the same levels before any work is done.
 */
public final class ShedRule {

    /** Fraction of each level that is always admitted, so that the end of an overload is detected. */
    private static final double PROBE_FRACTION = 0.02;

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(400);
    private static final Duration MAX_RETRY_AFTER = Duration.ofMillis(2_500);

    private ShedRule() {}

    /**
     * Returns the urgency of a request: the importance of its team counts first, then that of its route.
     *
     * @param team importance of its team, or that of the route if the team has none
     * @param route importance of its route
     * @return the urgency, a lower number is more urgent
     */
    public static int urgency(Importance team, Importance route) {
        return team.rank() * Importance.values().length + route.rank();
    }

    /**
     * Returns all urgencies that root requests with a key can have. Open routes, which need no key, add no level.
     *
     * @param routes routes of the policy
     * @param teams teams of the policy
     * @return the urgencies in ascending order, the least urgent last
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
     * Returns the fraction of the requests of one urgency that is shed.
     *
     * @param pressure pressure behind the route in thousandths, from 0 to {@link RoutePressure#FULL}
     * @param urgency urgency of the requests
     * @param levels all urgencies in ascending order
     * @return the fraction, at most 1 less the fraction of each level that is always admitted
     */
    public static double shedFraction(int pressure, int urgency, List<Integer> levels) {
        int index = levels.indexOf(urgency);
        int lessUrgentLevels = index < 0 ? 0 : levels.size() - 1 - index;
        double fraction = (double) pressure / RoutePressure.FULL * Math.max(1, levels.size()) - lessUrgentLevels;
        return Math.max(0, Math.min(1 - PROBE_FRACTION, fraction));
    }

    /**
     * Returns the retry-after delay of a shed request. It grows with the shed fraction and is spread, so that the
     * requests are not all retried at once.
     *
     * @param fraction fraction of its level that is shed, from 0 to 1
     * @param position position of the request within the spread, from 0 to 1
     * @return the delay
     */
    public static Duration retryAfter(double fraction, double position) {
        long span = MAX_RETRY_AFTER.minus(MIN_RETRY_AFTER).toMillis();
        return MIN_RETRY_AFTER.plusMillis((long) (span * fraction * (0.5 + position) / 1.5));
    }
}
