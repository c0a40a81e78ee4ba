package org.heatherhaven.core.logic.rights;

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
 * The rights that concern this process.
 *
 * @param self this process
 * @param startedAt when it started
 * @param rights rights that it holds or stands by for
 * @param locations where other rights are believed to be held
 * @param reading rights whose objects are being read, with the time at which the read is given up
 * @param handed rights that their holder has handed over to this process, at which generation
 * @param asks when each unanswered question for promises was sent
 * @param nextSeq number of the next question
 * @param nextAskAt when promises are asked for next
 */
public record RightsState(
        Owner self,
        Instant startedAt,
        PMap<LeaseId, RightState> rights,
        PMap<LeaseId, NodeId> locations,
        PMap<LeaseId, Instant> reading,
        PMap<LeaseId, Long> handed,
        PMap<Long, Instant> asks,
        long nextSeq,
        Instant nextAskAt) {

    /**
     * The state of a process that holds nothing.
     *
     * @param self this process
     * @param now its start
     * @return the state
     */
    public static RightsState start(Owner self, Instant now) {
        return new RightsState(
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
    public Optional<RightState> find(LeaseId right) {
        return Optional.ofNullable(rights.get(right));
    }

    /**
     * Tells whether this process may use a right at this moment.
     *
     * @param right the right
     * @param now current time, read at the moment of use
     * @return true if no other process can be using it
     */
    public boolean usable(LeaseId right, Instant now) {
        return find(right)
                .filter(state -> state.heldBy(self) && !state.released() && now.isBefore(state.usableUntil()))
                .isPresent();
    }

    /**
     * Rights that this process holds.
     *
     * @return the rights, usable or not
     */
    public PSet<LeaseId> held() {
        PSet<LeaseId> held = HashTreePSet.empty();
        for (LeaseId right : rights.keySet()) {
            if (rights.get(right).heldBy(self)) {
                held = held.plus(right);
            }
        }
        return held;
    }

    RightsState with(LeaseId right, RightState state) {
        return new RightsState(
                self,
                startedAt,
                rights.plus(right, state),
                locations.minus(right),
                reading,
                handed,
                asks,
                nextSeq,
                nextAskAt);
    }

    RightsState without(LeaseId right) {
        return new RightsState(
                self,
                startedAt,
                rights.minus(right),
                locations,
                reading,
                handed.minus(right),
                asks,
                nextSeq,
                nextAskAt);
    }

    RightsState withLocations(PMap<LeaseId, NodeId> next) {
        return new RightsState(self, startedAt, rights, next, reading, handed, asks, nextSeq, nextAskAt);
    }

    RightsState withReading(PMap<LeaseId, Instant> next) {
        return new RightsState(self, startedAt, rights, locations, next, handed, asks, nextSeq, nextAskAt);
    }

    RightsState withHanded(PMap<LeaseId, Long> next) {
        return new RightsState(self, startedAt, rights, locations, reading, next, asks, nextSeq, nextAskAt);
    }

    RightsState withAsks(PMap<Long, Instant> next, long seq, Instant askAt) {
        return new RightsState(self, startedAt, rights, locations, reading, handed, next, seq, askAt);
    }
}
