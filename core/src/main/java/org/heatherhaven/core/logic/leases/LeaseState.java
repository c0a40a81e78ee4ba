package org.heatherhaven.core.logic.leases;

import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.model.Grant;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;

/**
 * What a node that is holder or standby knows of a right.
 *
 * @param grant content of the platform object as last seen
 * @param objectVersion version of the platform object
 * @param term generation at which this process became holder, if it is
 * @param acquiredAt when this process became holder
 * @param acquisition how it became holder
 * @param renewalGrantedUntil as standby: when the last promise given has surely ended
 * @param usableUntil as holder: when the promise received ends
 * @param updateSent true once this process has sent an update at this generation
 * @param released true once this process has given up the right at this generation
 * @param retryAt when the platform is asked next
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
