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
public record GuardedTarget(Optional<TargetRef> ref, Instant refuseFrom) {

    /** No target is known. */
    public static final GuardedTarget NONE = new GuardedTarget(Optional.empty(), Instant.MAX);

    /**
     * A target in service.
     *
     * @param ref how it is reached
     * @return the target
     */
    public static GuardedTarget of(TargetRef ref) {
        return new GuardedTarget(Optional.of(ref), Instant.MAX);
    }

    GuardedTarget leaving(Instant from) {
        return from.isBefore(refuseFrom) ? new GuardedTarget(ref, from) : this;
    }

    /** Tells whether the target itself said how many slots it has. */
    boolean reported() {
        return ref.filter(target -> !target.instance().isEmpty()).isPresent();
    }

    /** Tells whether the target has refused new calls since before a moment. */
    boolean gone(Instant before) {
        return refuseFrom.isBefore(before);
    }

    boolean takesCalls(Instant now) {
        return ref.isPresent() && now.isBefore(refuseFrom);
    }
}
