package org.heatherhaven.core.logic.admission;

import java.util.HashMap;
import java.util.Map;

import org.heatherhaven.core.logic.admission.Demand.ClassKey;
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
 * @param keeps cohorts kept, by class; a class that is not listed keeps all
 */
record KeepTable(PMap<ClassKey, Double> keeps) {

    static final KeepTable ALL = new KeepTable(HashTreePMap.empty());

    /** A class is never shed wholly, or its recovery could not be noticed. */
    private static final double FLOOR = 2;

    private static final double GROWTH = 1.6;
    private static final double GROWTH_STEP = 12;

    /** A window may cut a class at most to this part, so that one odd window does not close it. */
    private static final double DEEPEST_CUT = 0.3;

    int keep(ClassKey key) {
        return (int) Math.round(keeps.getOrDefault(key, (double) Signal.BUCKETS));
    }

    /** Opens up again, class by class, while there is room. */
    KeepTable relaxed() {
        PMap<ClassKey, Double> next = keeps;
        for (Map.Entry<ClassKey, Double> entry : keeps.entrySet()) {
            next = put(next, entry.getKey(), entry.getValue() * GROWTH + GROWTH_STEP);
        }
        return new KeepTable(next);
    }

    /** Divides the calls that fit into one window among those that came. */
    KeepTable divided(PMap<ClassKey, Integer> arrivals, double capacity) {
        Map<Importance, Map<String, Double>> demand = new HashMap<>();
        arrivals.forEach((key, count) ->
                demand.computeIfAbsent(key.importance(), any -> new HashMap<>()).put(key.team(), (double) count));
        PMap<ClassKey, Double> next = keeps;
        double left = capacity;
        for (Importance importance : Importance.values()) {
            Map<String, Double> teams = demand.getOrDefault(importance, Map.of());
            double fair = FairShare.of(teams.values(), left);
            for (Map.Entry<String, Double> team : teams.entrySet()) {
                ClassKey key = new ClassKey(importance, team.getKey());
                double ratio = fair / team.getValue();
                double old = next.getOrDefault(key, (double) Signal.BUCKETS);
                double changed = ratio >= 1
                        ? Math.min(old * ratio, old * GROWTH + GROWTH_STEP)
                        : old * Math.max(ratio, DEEPEST_CUT);
                next = put(next, key, changed);
                left -= Math.min(fair, team.getValue());
            }
            left = Math.max(0, left);
        }
        return new KeepTable(next);
    }

    private static PMap<ClassKey, Double> put(PMap<ClassKey, Double> map, ClassKey key, double value) {
        return value >= Signal.BUCKETS ? map.minus(key) : map.plus(key, Math.max(FLOOR, value));
    }
}
