package org.heatherhaven.core.logic.admission;

import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.model.TargetRef;

/**
 * The process life that a node hands calls to.
 *
 * @param ref how it is reached, absent while no target is known
 * @param refuseFrom when new calls are refused because it leaves; far future if it does not
 */
public record AdmissionTarget(Optional<TargetRef> ref, Instant refuseFrom) {

    /** No target is known. */
    public static final AdmissionTarget NONE = new AdmissionTarget(Optional.empty(), Instant.MAX);

    /**
     * A target in service.
     *
     * @param ref how it is reached
     * @return the target
     */
    public static AdmissionTarget of(TargetRef ref) {
        return new AdmissionTarget(Optional.of(ref), Instant.MAX);
    }

    AdmissionTarget leaving(Instant from) {
        return from.isBefore(refuseFrom) ? new AdmissionTarget(ref, from) : this;
    }

    /** Tells whether the target itself said how many slots it has. */
    boolean reportsSlots() {
        return ref.filter(target -> !target.instance().isEmpty()).isPresent();
    }

    /** Tells whether the target has refused new calls since before a moment. */
    boolean leftBefore(Instant before) {
        return refuseFrom.isBefore(before);
    }

    boolean acceptsCalls(Instant now) {
        return ref.isPresent() && now.isBefore(refuseFrom);
    }
}
