package org.heatherhaven.core.logic.registration;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.model.TargetReport;

/**
 * Decides which report of a node's target is in force.
 *
 * <p>Reports can arrive late or twice, or come from an earlier process at the same address. The process that started
 * last takes precedence, and among the reports of one process the highest sequence number.
 */
public final class RegistrationLogic {

    private RegistrationLogic() {}

    /**
     * Handles a report of the target.
     *
     * @param state the current state
     * @param report the report
     * @param now current time
     * @return the new state, the same one if the report is outdated, repeated, or from another process with the same
     *     start
     */
    public static RegistrationState handleReport(RegistrationState state, TargetReport report, Instant now) {
        Optional<TargetReport> current = state.report();
        if (current.isEmpty() || report.startedMillis() > current.get().startedMillis()) {
            return new RegistrationState(Optional.of(report), report.leaving(), now);
        }
        boolean sameProcess = sameProcess(current.get(), report);
        if (!sameProcess || report.sequence() <= current.get().sequence()) {
            return state;
        }
        return new RegistrationState(Optional.of(report), state.leaving() || report.leaving(), now);
    }

    private static boolean sameProcess(TargetReport current, TargetReport report) {
        return report.startedMillis() == current.startedMillis()
                && report.target().instance().equals(current.target().instance());
    }

    /**
     * Handles the notice that a process of the target stops for good.
     *
     * @param state the current state
     * @param instance identifier of the process
     * @return the new state, the same one if the report in force is from another process
     */
    public static RegistrationState handleDeparture(RegistrationState state, String instance) {
        boolean inForce = state.report()
                .filter(report -> report.target().instance().equals(instance))
                .isPresent();
        return inForce ? new RegistrationState(state.report(), true, state.receivedAt()) : state;
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
