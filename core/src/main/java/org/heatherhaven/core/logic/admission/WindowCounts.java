package org.heatherhaven.core.logic.admission;

import org.heatherhaven.core.model.Importance;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Counts of one measuring window.
 *
 * @param arrivals calls offered, by class
 * @param completions calls that the target finished
 * @param failures calls that the target failed or refused
 * @param saturated true if a call found no free slot
 */
record WindowCounts(PMap<TrafficClass, Integer> arrivals, int completions, int failures, boolean saturated) {

    static final WindowCounts NONE = new WindowCounts(HashTreePMap.empty(), 0, 0, false);

    /**
     * Calls that are shed alike.
     *
     * @param importance importance of the calls
     * @param team team that they run for
     */
    record TrafficClass(Importance importance, String team) {
        private static final int PRIME = 31;

        @Override
        public boolean equals(Object other) {
            return other instanceof TrafficClass that && importance == that.importance && team.equals(that.team);
        }

        @Override
        public int hashCode() {
            return PRIME * importance.hashCode() + team.hashCode();
        }
    }

    WindowCounts withArrival(TrafficClass key) {
        return new WindowCounts(
                arrivals.plus(key, arrivals.getOrDefault(key, 0) + 1), completions, failures, saturated);
    }

    WindowCounts withCompletion() {
        return new WindowCounts(arrivals, completions + 1, failures, saturated);
    }

    WindowCounts withFailure() {
        return new WindowCounts(arrivals, completions, failures + 1, saturated);
    }

    WindowCounts withSaturation() {
        return saturated ? this : new WindowCounts(arrivals, completions, failures, true);
    }
}
