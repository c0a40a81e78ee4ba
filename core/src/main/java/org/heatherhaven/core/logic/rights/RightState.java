package org.heatherhaven.core.logic.rights;

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
 * @param takenAt when this process became holder
 * @param takenBy how it became holder
 * @param promisedUntil as standby: when the last promise given has surely ended
 * @param usableUntil as holder: when the promise received ends
 * @param writing true once this process has sent an update at this generation
 * @param released true once this process has given up the right at this generation
 * @param retryAt when the platform is asked next
 */
public record RightState(
        Grant grant,
        long objectVersion,
        Optional<Long> term,
        Instant takenAt,
        Acquisition takenBy,
        Instant promisedUntil,
        Instant usableUntil,
        boolean writing,
        boolean released,
        Instant retryAt) {

    boolean heldBy(Owner owner) {
        return grant.holder().equals(owner);
    }

    boolean standbyIs(Owner owner) {
        return grant.standby().filter(owner::equals).isPresent();
    }

    boolean standbyAt(NodeId node) {
        return grant.standby().filter(standby -> standby.node().equals(node)).isPresent();
    }

    RightState withPromisedUntil(Instant at) {
        return new RightState(
                grant, objectVersion, term, takenAt, takenBy, at, usableUntil, writing, released, retryAt);
    }

    RightState withUsableUntil(Instant at) {
        return new RightState(
                grant, objectVersion, term, takenAt, takenBy, promisedUntil, at, writing, released, retryAt);
    }

    RightState withWriting() {
        return new RightState(
                grant, objectVersion, term, takenAt, takenBy, promisedUntil, usableUntil, true, released, retryAt);
    }

    RightState withReleased() {
        return new RightState(
                grant, objectVersion, term, takenAt, takenBy, promisedUntil, usableUntil, writing, true, retryAt);
    }

    RightState withRetryAt(Instant at) {
        return new RightState(
                grant, objectVersion, term, takenAt, takenBy, promisedUntil, usableUntil, writing, released, at);
    }
}
