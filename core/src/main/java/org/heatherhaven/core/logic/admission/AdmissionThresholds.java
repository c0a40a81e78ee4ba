package org.heatherhaven.core.logic.admission;

import java.util.HashMap;
import java.util.Map;

import org.heatherhaven.core.logic.admission.WindowCounts.TrafficClass;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.Signal;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * How many cohorts of each class a target can serve.
 *
 * <p>Capacity goes to the most important class first; within the class that no longer fits, teams share it max-min
 * fairly. Arrivals are counted behind the shedding of entry nodes, so that each window corrects the table by the ratio
 * of what fits to what came.
 *
 * @param thresholds cohorts kept, by class; a class that is not listed keeps all
 */
record AdmissionThresholds(PMap<TrafficClass, Double> thresholds) {

    static final AdmissionThresholds ADMIT_ALL = new AdmissionThresholds(HashTreePMap.empty());

    /** A class is never shed wholly, or its recovery could not be noticed. */
    private static final double MIN_THRESHOLD = 2;

    private static final double GROWTH_FACTOR = 1.6;
    private static final double GROWTH_STEP = 12;

    /** A window may cut a class at most to this part, so that one odd window does not close it. */
    private static final double MIN_CUT_FACTOR = 0.3;

    int threshold(TrafficClass key) {
        return (int) Math.round(thresholds.getOrDefault(key, (double) Signal.COHORTS));
    }

    /** Opens up again, class by class, while there is room. */
    AdmissionThresholds relaxed() {
        PMap<TrafficClass, Double> next = thresholds;
        for (Map.Entry<TrafficClass, Double> entry : thresholds.entrySet()) {
            next = put(next, entry.getKey(), entry.getValue() * GROWTH_FACTOR + GROWTH_STEP);
        }
        return new AdmissionThresholds(next);
    }

    /** Divides the calls that fit into one window among those that came. */
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
                double old = next.getOrDefault(key, (double) Signal.COHORTS);
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
        return value >= Signal.COHORTS ? map.minus(key) : map.plus(key, Math.max(MIN_THRESHOLD, value));
    }
}
