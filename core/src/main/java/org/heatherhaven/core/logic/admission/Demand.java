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
record Demand(PMap<ClassKey, Integer> arrivals, int completions, int failures, boolean saturated) {

    static final Demand NONE = new Demand(HashTreePMap.empty(), 0, 0, false);

    /**
     * Calls that are shed alike.
     *
     * @param importance importance of the calls
     * @param team team that they run for
     */
    record ClassKey(Importance importance, String team) {
        private static final int PRIME = 31;

        @Override
        public boolean equals(Object other) {
            return other instanceof ClassKey that && importance == that.importance && team.equals(that.team);
        }

        @Override
        public int hashCode() {
            return PRIME * importance.hashCode() + team.hashCode();
        }
    }

    Demand arrived(ClassKey key) {
        return new Demand(arrivals.plus(key, arrivals.getOrDefault(key, 0) + 1), completions, failures, saturated);
    }

    Demand completed() {
        return new Demand(arrivals, completions + 1, failures, saturated);
    }

    Demand failed() {
        return new Demand(arrivals, completions, failures + 1, saturated);
    }

    Demand full() {
        return saturated ? this : new Demand(arrivals, completions, failures, true);
    }
}
