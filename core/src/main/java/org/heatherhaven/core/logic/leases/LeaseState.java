package org.heatherhaven.core.logic.leases;

import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.model.Grant;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;

/**
 * The state of one lease at its holder or standby.
 *
 * @param grant content of the platform object as last read
 * @param objectVersion version of the platform object, for the next conditional update
 * @param term generation at which this process became holder; empty if it is not the holder
 * @param acquiredAt when this process became holder, or first saw the grant as standby
 * @param acquisition how this process became holder; without meaning at a standby
 * @param renewalGrantedUntil on the standby: time at which the last renewal it granted has ended on the holder's clock
 *     too; before the first renewal and on the holder: the end of one lease duration, lengthened for clock drift, from
 *     when the grant was first seen
 * @param usableUntil on the holder: end of the last renewal it received; {@link Instant#MIN} before the first, {@link
 *     Instant#MAX} without a standby
 * @param updateSent true once this process has sent an update of the object at this generation
 * @param released true once this process has released the lease at this generation
 * @param retryAt earliest time of the next read of the platform object
 */
public record LeaseState(
        Grant grant,
        long objectVersion,
        Optional<Long> term,
        Instant acquiredAt,
        Acquisition acquisition,
        Instant renewalGrantedUntil,
        Instant usableUntil,
        boolean updateSent,
        boolean released,
        Instant retryAt) {

    boolean heldBy(Owner owner) {
        return grant.holder().equals(owner);
    }

    boolean hasStandby(Owner owner) {
        return grant.standby().filter(owner::equals).isPresent();
    }

    boolean hasStandbyOn(NodeId node) {
        return grant.standby().filter(standby -> standby.node().equals(node)).isPresent();
    }

    LeaseState withRenewalGrantedUntil(Instant at) {
        return new LeaseState(
                grant, objectVersion, term, acquiredAt, acquisition, at, usableUntil, updateSent, released, retryAt);
    }

    LeaseState withUsableUntil(Instant at) {
        return new LeaseState(
                grant,
                objectVersion,
                term,
                acquiredAt,
                acquisition,
                renewalGrantedUntil,
                at,
                updateSent,
                released,
                retryAt);
    }

    LeaseState withUpdateSent() {
        return new LeaseState(
                grant,
                objectVersion,
                term,
                acquiredAt,
                acquisition,
                renewalGrantedUntil,
                usableUntil,
                true,
                released,
                retryAt);
    }

    LeaseState withReleased() {
        return new LeaseState(
                grant,
                objectVersion,
                term,
                acquiredAt,
                acquisition,
                renewalGrantedUntil,
                usableUntil,
                updateSent,
                true,
                retryAt);
    }

    LeaseState withRetryAt(Instant at) {
        return new LeaseState(
                grant,
                objectVersion,
                term,
                acquiredAt,
                acquisition,
                renewalGrantedUntil,
                usableUntil,
                updateSent,
                released,
                at);
    }
}
