package org.heatherhaven.core.logic.registration;

import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.model.TargetReport;

/**
 * The target of a node according to its reports.
 *
 * @param report the report in force, empty before the first
 * @param leaving true once the process has reported that it leaves; later reports of the same process don't reset it
 * @param receivedAt when the report in force was received
 */
public record RegistrationState(Optional<TargetReport> report, boolean leaving, Instant receivedAt) {

    /** The state of a node whose target has not reported. */
    public static final RegistrationState NONE = new RegistrationState(Optional.empty(), false, Instant.MIN);

    /**
     * Returns the report in force if the target accepts calls.
     *
     * @return the report, empty before the first one and once the target leaves
     */
    public Optional<TargetReport> activeReport() {
        return report.filter(any -> !leaving);
    }
}
