package org.heatherhaven.core.logic.registration;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.model.Departure;
import org.heatherhaven.core.model.TargetReport;

/**
 * The target of a node according to its reports.
 *
 * @param report the report in force, empty before the first
 * @param receivedAt when the report in force was received
 * @param departure the last process that reported that it leaves, to this process of the node or an earlier one; later
 *     reports of the same process don't reset it
 * @param storage what is known of the stored departure
 */
public record RegistrationState(
        Optional<TargetReport> report, Instant receivedAt, Optional<Departure> departure, DepartureStorage storage) {

    /** The state of a node whose target sends no reports. */
    public static final RegistrationState NONE =
            new RegistrationState(Optional.empty(), Instant.MIN, Optional.empty(), DepartureStorage.UNUSED);

    /** Longest time for which a report is on its way. */
    private static final Duration MAX_REPORT_DELAY = Duration.ofSeconds(10);

    /**
     * Returns the state of a node that has just started, whose target sends reports.
     *
     * @param now start of the node
     * @return the state
     */
    public static RegistrationState start(Instant now) {
        return NONE.withStorage(DepartureStorage.unread(now, now.plus(MAX_REPORT_DELAY)));
    }

    /**
     * Returns the report in force if the target accepts calls.
     *
     * @return the report, empty before the first one and once the target leaves
     */
    public Optional<TargetReport> activeReport() {
        return report.filter(any -> !leaving());
    }

    /**
     * Returns whether the target has reported that it leaves.
     *
     * @return true if it leaves, false before the first report
     */
    public boolean leaving() {
        return report.filter(this::departed).isPresent();
    }

    /** Returns whether a report comes from a process that leaves or has left. */
    boolean departed(TargetReport any) {
        return departure.filter(known -> known.covers(any)).isPresent();
    }

    RegistrationState withReport(TargetReport next, Instant now) {
        return new RegistrationState(Optional.of(next), now, departure, storage);
    }

    RegistrationState withDeparture(Departure next) {
        return new RegistrationState(report, receivedAt, Optional.of(next), storage);
    }

    RegistrationState withStored() {
        return withStorage(storage.withStored(true));
    }

    RegistrationState withStorage(DepartureStorage next) {
        return new RegistrationState(report, receivedAt, departure, next);
    }
}
