package org.heatherhaven.core.logic.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Max-min fair division. */
public final class FairShare {

    private FairShare() {}

    /**
     * Largest amount that everyone may take so that all together take no more than there is.
     *
     * @param demands amounts wanted
     * @param capacity amount that there is
     * @return the fair share, infinite if everything fits
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
