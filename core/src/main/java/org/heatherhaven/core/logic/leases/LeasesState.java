package org.heatherhaven.core.logic.leases;

import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.RightId;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * The rights that concern this process.
 *
 * @param self this process
 * @param startedAt when it started
 * @param leases rights that it holds or stands by for
 * @param locations where other rights are believed to be held
 * @param pendingReads rights whose objects are being read, with the time at which the read is given up
 * @param handedOver rights that their holder has handed over to this process, at which generation
 * @param renewalRequests when each unanswered question for promises was sent
 * @param nextSeq number of the next question
 * @param nextRenewalAt when promises are asked for next
 */
public record LeasesState(
        Owner self,
        Instant startedAt,
        PMap<RightId, LeaseState> leases,
        PMap<RightId, NodeId> locations,
        PMap<RightId, Instant> pendingReads,
        PMap<RightId, Long> handedOver,
        PMap<Long, Instant> renewalRequests,
        long nextSeq,
        Instant nextRenewalAt) {

    /**
     * The state of a process that holds nothing.
     *
     * @param self this process
     * @param now its start
     * @return the state
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
     * Finds a right that concerns this process.
     *
     * @param right the right
     * @return its state
     */
    public Optional<LeaseState> find(RightId right) {
        return Optional.ofNullable(leases.get(right));
    }

    /**
     * Tells whether this process may use a right at this moment.
     *
     * @param right the right
     * @param now current time, read at the moment of use
     * @return true if no other process can be using it
     */
    public boolean usable(RightId right, Instant now) {
        return find(right)
                .filter(state -> state.heldBy(self) && !state.released() && now.isBefore(state.usableUntil()))
                .isPresent();
    }

    /**
     * Rights that this process holds.
     *
     * @return the rights, usable or not
     */
    public PSet<RightId> held() {
        PSet<RightId> held = HashTreePSet.empty();
        for (RightId right : leases.keySet()) {
            if (leases.get(right).heldBy(self)) {
                held = held.plus(right);
            }
        }
        return held;
    }

    LeasesState with(RightId right, LeaseState state) {
        return new LeasesState(
                self,
                startedAt,
                leases.plus(right, state),
                locations.minus(right),
                pendingReads,
                handedOver,
                renewalRequests,
                nextSeq,
                nextRenewalAt);
    }

    LeasesState without(RightId right) {
        return new LeasesState(
                self,
                startedAt,
                leases.minus(right),
                locations,
                pendingReads,
                handedOver.minus(right),
                renewalRequests,
                nextSeq,
                nextRenewalAt);
    }

    LeasesState withLocations(PMap<RightId, NodeId> next) {
        return new LeasesState(
                self, startedAt, leases, next, pendingReads, handedOver, renewalRequests, nextSeq, nextRenewalAt);
    }

    LeasesState withPendingReads(PMap<RightId, Instant> next) {
        return new LeasesState(
                self, startedAt, leases, locations, next, handedOver, renewalRequests, nextSeq, nextRenewalAt);
    }

    LeasesState withHandedOver(PMap<RightId, Long> next) {
        return new LeasesState(
                self, startedAt, leases, locations, pendingReads, next, renewalRequests, nextSeq, nextRenewalAt);
    }

    LeasesState withRenewalRequests(PMap<Long, Instant> next, long seq, Instant askAt) {
        return new LeasesState(self, startedAt, leases, locations, pendingReads, handedOver, next, seq, askAt);
    }
}
