package org.heatherhaven.core.logic.registration;

import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.model.TargetReport;

/**
 * The latest word of the target.
 *
 * @param report the report that holds, absent before the first
 * @param leaving true once this process life said that it leaves; it can't be taken back
 * @param receivedAt when the report came
 */
public record RegistrationState(Optional<TargetReport> report, boolean leaving, Instant receivedAt) {

    /** The state of a node whose target has not reported. */
    public static final RegistrationState NONE = new RegistrationState(Optional.empty(), false, Instant.MIN);

    /**
     * The report of a target that takes calls.
     *
     * @return absent before the first report and once the target leaves
     */
    public Optional<TargetReport> activeReport() {
        return report.filter(any -> !leaving);
    }
}
