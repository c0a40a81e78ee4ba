package org.heatherhaven.core.logic.registration;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.model.TargetReport;

/**
 * Decides which of the reports about a node's target holds.
 *
 * <p>Reports may be late, doubled or of an earlier process at the same address: the younger process life wins, and
 * within one life the higher sequence number.
 */
public final class RegistrationLogic {

    private RegistrationLogic() {}

    /**
     * Takes a report.
     *
     * @param state the state
     * @param report what the target said
     * @param now the time
     * @return the new state; the same one if a newer report holds
     */
    public static RegistrationState reported(RegistrationState state, TargetReport report, Instant now) {
        Optional<TargetReport> known = state.report();
        if (known.isEmpty() || report.startedMillis() > known.get().startedMillis()) {
            return new RegistrationState(Optional.of(report), report.leaving(), now);
        }
        boolean sameLife = sameLife(known.get(), report);
        if (!sameLife || report.sequence() <= known.get().sequence()) {
            return state;
        }
        return new RegistrationState(Optional.of(report), state.leaving() || report.leaving(), now);
    }

    private static boolean sameLife(TargetReport known, TargetReport report) {
        return report.startedMillis() == known.startedMillis()
                && report.target().instance().equals(known.target().instance());
    }

    /**
     * Takes the word that a process life leaves for good.
     *
     * @param state the state
     * @param instance identifier of the process life
     * @return the new state
     */
    public static RegistrationState left(RegistrationState state, String instance) {
        boolean mine = state.report()
                .filter(report -> report.target().instance().equals(instance))
                .isPresent();
        return mine ? new RegistrationState(state.report(), true, state.heardAt()) : state;
    }

    /**
     * Tells whether a target has been silent for too long.
     *
     * @param state the state
     * @param patience longest silence
     * @param now the time
     * @return true if it reported once and no longer does
     */
    public static boolean silent(RegistrationState state, Duration patience, Instant now) {
        return state.report().isPresent()
                && Duration.between(state.heardAt(), now).compareTo(patience) > 0;
    }
}
