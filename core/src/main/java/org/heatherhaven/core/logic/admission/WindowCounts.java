package org.heatherhaven.core.logic.admission;

import org.heatherhaven.core.model.Importance;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Counts of the calls at a target within one measuring window.
 *
 * @param arrivals number of calls offered, by traffic class
 * @param completions number of calls that the target answered
 * @param failures number of calls that failed, were aborted or were refused at the target
 * @param saturated true if at least one call could not start at once
 */
record WindowCounts(PMap<TrafficClass, Integer> arrivals, int completions, int failures, boolean saturated) {

    static final WindowCounts NONE = new WindowCounts(HashTreePMap.empty(), 0, 0, false);

    /**
     * Traffic class: the calls that share one admission threshold.
     *
     * @param importance importance of the calls
     * @param team team that the calls run for
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
