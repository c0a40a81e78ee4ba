package org.heatherhaven.core.logic.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Max-min fair division of a capacity among several demands. */
public final class FairShare {

    private FairShare() {}

    /**
     * Returns the largest amount that each demand may receive so that the sum does not exceed the capacity.
     *
     * @param demands the amounts requested
     * @param capacity the amount to divide, in the unit of the demands
     * @return the max-min fair share, infinite if all demands fit
     */
    public static double of(Collection<Double> demands, double capacity) {
        List<Double> ascending = new ArrayList<>(demands);
        ascending.sort(Comparator.naturalOrder());
        double left = capacity;
        for (int i = 0; i < ascending.size(); i++) {
            double equal = left / (ascending.size() - i);
            if (ascending.get(i) > equal) {
                return equal;
            }
            left -= ascending.get(i);
        }
        return Double.POSITIVE_INFINITY;
    }
}
