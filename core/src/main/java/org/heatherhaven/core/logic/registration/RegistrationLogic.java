package org.heatherhaven.core.logic.registration;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.model.Departure;
import org.heatherhaven.core.model.TargetReport;

/**
 * Decides which report of a node's target is in force.
 *
 * <p>Reports can arrive late or twice, or come from an earlier process at the same address. The process that started
 * last takes precedence, and among the reports of one process the highest sequence number. A process that has reported
 * that it leaves is never in service again, also after a restart of the node: {@link DepartureLogic} stores that.
 */
public final class RegistrationLogic {

    private RegistrationLogic() {}

    /**
     * Handles a report of the target.
     *
     * @param state the current state
     * @param report the report
     * @param now current time
     * @return the new state, the same one if the report is outdated, repeated, from another process with the same start,
     *     or from a process that left earlier
     */
    public static RegistrationState handleReport(RegistrationState state, TargetReport report, Instant now) {
        Optional<TargetReport> current = state.report();
        boolean sameProcess =
                current.filter(known -> sameProcess(known, report)).isPresent();
        boolean newer = current.isEmpty()
                || report.startedMillis() > current.get().startedMillis()
                || sameProcess && report.sequence() > current.get().sequence();
        boolean leftEarlier = !sameProcess && !report.leaving() && state.departed(report);
        if (!newer || leftEarlier) {
            return state;
        }
        RegistrationState next = state.withReport(report, now);
        return report.leaving() && !state.departed(report) ? next.withDeparture(departure(report, now)) : next;
    }

    private static boolean sameProcess(TargetReport current, TargetReport report) {
        return report.startedMillis() == current.startedMillis()
                && report.target().instance().equals(current.target().instance());
    }

    private static Departure departure(TargetReport report, Instant now) {
        return new Departure(report.target().instance(), report.startedMillis(), now.toEpochMilli());
    }

    /**
     * Handles the notice that a process of the target stops for good.
     *
     * @param state the current state
     * @param instance identifier of the process
     * @param now current time
     * @return the new state, the same one if the report in force is from another process or the process left before
     */
    public static RegistrationState handleDeparture(RegistrationState state, String instance, Instant now) {
        if (state.report().isEmpty()) {
            boolean known = state.departure()
                    .filter(left -> left.instance().equals(instance))
                    .isPresent();
            return known ? state : state.withDeparture(new Departure(instance, 0, now.toEpochMilli()));
        }
        TargetReport report = state.report().get();
        boolean inForce = report.target().instance().equals(instance);
        return inForce && !state.leaving() ? state.withDeparture(departure(report, now)) : state;
    }

    /**
     * Checks whether the next report of the target is overdue.
     *
     * @param state the current state
     * @param limit longest time without a new report
     * @param now current time
     * @return true if the target has reported before, but not within the limit
     */
    public static boolean overdue(RegistrationState state, Duration limit, Instant now) {
        return state.report().isPresent()
                && Duration.between(state.receivedAt(), now).compareTo(limit) > 0;
    }
}
