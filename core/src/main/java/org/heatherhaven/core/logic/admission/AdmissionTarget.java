package org.heatherhaven.core.logic.admission;

import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.TargetRef;

/**
 * The process instance to which a node passes calls.
 *
 * @param ref reference to the process instance, absent while no target is known
 * @param service service that it runs, empty while no target is known
 * @param refuseFrom time from which new calls are refused because it is leaving; {@link Instant#MAX} if it is not
 */
public record AdmissionTarget(Optional<TargetRef> ref, String service, Instant refuseFrom) {

    /** No target is known. */
    public static final AdmissionTarget NONE = new AdmissionTarget(Optional.empty(), "", Instant.MAX);

    /**
     * Creates a target that accepts calls.
     *
     * @param ref reference to the process instance
     * @param service service that it runs
     * @return the target
     */
    public static AdmissionTarget of(TargetRef ref, String service) {
        return new AdmissionTarget(Optional.of(ref), service, Instant.MAX);
    }

    AdmissionTarget leaving(Instant from) {
        return from.isBefore(refuseFrom) ? new AdmissionTarget(ref, service, from) : this;
    }

    /** Returns whether the target itself reports its number of slots. */
    boolean reportsSlots() {
        return ref.filter(target -> !target.instance().isEmpty()).isPresent();
    }

    /** Returns whether new calls have been refused since before the given time. */
    boolean leftBefore(Instant before) {
        return refuseFrom.isBefore(before);
    }

    /** Returns whether it runs the service that a call was admitted for. */
    boolean runs(CallHead head) {
        return service.equals(head.service());
    }

    boolean acceptsCalls(Instant now) {
        return ref.isPresent() && now.isBefore(refuseFrom);
    }
}
