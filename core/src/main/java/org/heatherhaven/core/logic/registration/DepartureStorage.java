package org.heatherhaven.core.logic.registration;

import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.model.TargetReport;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * What is known of the departure that is stored on the platform, which outlives the processes of this node.
 *
 * @param earlierKnown false until the departure that an earlier process of this node stored is known
 * @param earlierMattersUntil until when a report from before the start of this process can arrive
 * @param heldReport latest report that waits until the earlier departure is known
 * @param stored false while a departure is not known to be stored
 * @param waitingTickets reports of the departure that are acknowledged once it is stored
 * @param nextCallAt when the platform is called again, unless it answers before
 */
public record DepartureStorage(
        boolean earlierKnown,
        Instant earlierMattersUntil,
        Optional<TargetReport> heldReport,
        boolean stored,
        PVector<Long> waitingTickets,
        Instant nextCallAt) {

    /** The state of a node whose target sends no reports. */
    static final DepartureStorage UNUSED =
            new DepartureStorage(true, Instant.MIN, Optional.empty(), true, TreePVector.empty(), Instant.MIN);

    static DepartureStorage unread(Instant now, Instant earlierMattersUntil) {
        return new DepartureStorage(false, earlierMattersUntil, Optional.empty(), true, TreePVector.empty(), now);
    }

    DepartureStorage withEarlierKnown() {
        return new DepartureStorage(true, earlierMattersUntil, Optional.empty(), stored, waitingTickets, nextCallAt);
    }

    DepartureStorage withHeldReport(TargetReport report) {
        return new DepartureStorage(
                earlierKnown, earlierMattersUntil, Optional.of(report), stored, waitingTickets, nextCallAt);
    }

    DepartureStorage withStored(boolean next) {
        return new DepartureStorage(earlierKnown, earlierMattersUntil, heldReport, next, waitingTickets, nextCallAt);
    }

    DepartureStorage withWaitingTickets(PVector<Long> tickets) {
        return new DepartureStorage(earlierKnown, earlierMattersUntil, heldReport, stored, tickets, nextCallAt);
    }

    DepartureStorage withNextCallAt(Instant at) {
        return new DepartureStorage(earlierKnown, earlierMattersUntil, heldReport, stored, waitingTickets, at);
    }
}
