package org.heatherhaven.core.logic.leases;

import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * The leases that this process holds or stands by for, and the requests under way for them.
 *
 * @param self this process
 * @param startedAt start of this process
 * @param leases leases of which this process is holder or standby
 * @param locations presumed holders of other leases
 * @param pendingReads leases that are not read from the platform again before the given time
 * @param handedOver leases that their holder has handed over to this process, with the generation of the handover
 * @param renewalRequests time at which each recent renewal request was sent, by its number
 * @param nextSeq number of the next renewal request
 * @param nextRenewalAt time of the next renewal requests
 */
public record LeasesState(
        Owner self,
        Instant startedAt,
        PMap<LeaseId, LeaseState> leases,
        PMap<LeaseId, NodeId> locations,
        PMap<LeaseId, Instant> pendingReads,
        PMap<LeaseId, Long> handedOver,
        PMap<Long, Instant> renewalRequests,
        long nextSeq,
        Instant nextRenewalAt) {

    /**
     * Returns the state of a process without leases.
     *
     * @param self this process
     * @param now start of this process
     * @return the initial state
     */
    public static LeasesState start(Owner self, Instant now) {
        return new LeasesState(
                self,
                now,
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                1,
                now);
    }

    /**
     * Finds a lease of which this process is holder or standby.
     *
     * @param lease the lease
     * @return its state, empty if this process is neither
     */
    public Optional<LeaseState> find(LeaseId lease) {
        return Optional.ofNullable(leases.get(lease));
    }

    /**
     * Returns whether this process may use a lease now.
     *
     * @param lease the lease
     * @param now current time, read at the moment of use
     * @return true if this process holds the lease and no other process can be using it
     */
    public boolean usable(LeaseId lease, Instant now) {
        return find(lease)
                .filter(state -> state.heldBy(self) && !state.released() && now.isBefore(state.usableUntil()))
                .isPresent();
    }

    /**
     * Returns the leases that this process holds.
     *
     * @return the leases, usable or not
     */
    public PSet<LeaseId> held() {
        PSet<LeaseId> held = HashTreePSet.empty();
        for (LeaseId lease : leases.keySet()) {
            if (leases.get(lease).heldBy(self)) {
                held = held.plus(lease);
            }
        }
        return held;
    }

    LeasesState with(LeaseId lease, LeaseState state) {
        return new LeasesState(
                self,
                startedAt,
                leases.plus(lease, state),
                locations.minus(lease),
                pendingReads,
                handedOver,
                renewalRequests,
                nextSeq,
                nextRenewalAt);
    }

    LeasesState without(LeaseId lease) {
        return new LeasesState(
                self,
                startedAt,
                leases.minus(lease),
                locations,
                pendingReads,
                handedOver.minus(lease),
                renewalRequests,
                nextSeq,
                nextRenewalAt);
    }

    LeasesState withLocations(PMap<LeaseId, NodeId> next) {
        return new LeasesState(
                self, startedAt, leases, next, pendingReads, handedOver, renewalRequests, nextSeq, nextRenewalAt);
    }

    LeasesState withPendingReads(PMap<LeaseId, Instant> next) {
        return new LeasesState(
                self, startedAt, leases, locations, next, handedOver, renewalRequests, nextSeq, nextRenewalAt);
    }

    LeasesState withHandedOver(PMap<LeaseId, Long> next) {
        return new LeasesState(
                self, startedAt, leases, locations, pendingReads, next, renewalRequests, nextSeq, nextRenewalAt);
    }

    LeasesState withRenewalRequests(PMap<Long, Instant> next, long seq, Instant renewalAt) {
        return new LeasesState(self, startedAt, leases, locations, pendingReads, handedOver, next, seq, renewalAt);
    }
}
