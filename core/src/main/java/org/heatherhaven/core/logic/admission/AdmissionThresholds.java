package org.heatherhaven.core.logic.admission;

import java.util.HashMap;
import java.util.Map;

import org.heatherhaven.core.logic.admission.WindowCounts.TrafficClass;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.Signal;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Admission threshold of each traffic class at a target: the number of hash buckets of root requests that it can serve.
 *
 * <p>Capacity goes to the highest importance first; within the first importance that does not fit, teams share the rest
 * max-min fairly. Arrivals are counted after the shedding of entry nodes. So each window multiplies the thresholds by
 * the ratio of the capacity to the arrivals.
 *
 * @param thresholds number of admitted hash buckets, of {@link Signal#BUCKETS}, by traffic class; a class that is not
 *     listed is admitted whole
 */
record AdmissionThresholds(PMap<TrafficClass, Double> thresholds) {

    static final AdmissionThresholds ADMIT_ALL = new AdmissionThresholds(HashTreePMap.empty());

    /**
     * Lowest threshold, in hash buckets. No class is shed completely, because its recovery could not be detected
     * without calls.
     */
    private static final double MIN_THRESHOLD = 2;

    /** One window raises a threshold at most by this factor plus {@link #GROWTH_STEP}. */
    private static final double GROWTH_FACTOR = 1.6;
    /** Number of hash buckets added beyond the growth by the factor. */
    private static final double GROWTH_STEP = 12;

    /** Smallest factor by which one window reduces a threshold, so that one outlier does not shed a whole class. */
    private static final double MIN_CUT_FACTOR = 0.3;

    /** Returns the number of hash buckets that are admitted, of {@link Signal#BUCKETS}. */
    int threshold(TrafficClass key) {
        return (int) Math.round(thresholds.getOrDefault(key, (double) Signal.BUCKETS));
    }

    /** Raises all thresholds by one step, for a window in which the target had spare capacity. */
    AdmissionThresholds relaxed() {
        PMap<TrafficClass, Double> next = thresholds;
        for (Map.Entry<TrafficClass, Double> entry : thresholds.entrySet()) {
            next = put(next, entry.getKey(), entry.getValue() * GROWTH_FACTOR + GROWTH_STEP);
        }
        return new AdmissionThresholds(next);
    }

    /** Adjusts the thresholds so that the arrivals of one window, in calls, fit the capacity per window. */
    AdmissionThresholds adjusted(PMap<TrafficClass, Integer> arrivals, double capacity) {
        Map<Importance, Map<String, Double>> demand = new HashMap<>();
        arrivals.forEach((key, count) ->
                demand.computeIfAbsent(key.importance(), any -> new HashMap<>()).put(key.team(), (double) count));
        PMap<TrafficClass, Double> next = thresholds;
        double left = capacity;
        for (Importance importance : Importance.values()) {
            Map<String, Double> teams = demand.getOrDefault(importance, Map.of());
            double fair = FairShare.of(teams.values(), left);
            for (Map.Entry<String, Double> team : teams.entrySet()) {
                TrafficClass key = new TrafficClass(importance, team.getKey());
                double ratio = fair / team.getValue();
                double old = next.getOrDefault(key, (double) Signal.BUCKETS);
                double changed = ratio >= 1
                        ? Math.min(old * ratio, old * GROWTH_FACTOR + GROWTH_STEP)
                        : old * Math.max(ratio, MIN_CUT_FACTOR);
                next = put(next, key, changed);
                left -= Math.min(fair, team.getValue());
            }
            left = Math.max(0, left);
        }
        return new AdmissionThresholds(next);
    }

    private static PMap<TrafficClass, Double> put(PMap<TrafficClass, Double> map, TrafficClass key, double value) {
        return value >= Signal.BUCKETS ? map.minus(key) : map.plus(key, Math.max(MIN_THRESHOLD, value));
    }
}
