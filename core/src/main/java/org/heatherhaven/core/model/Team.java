package org.heatherhaven.core.model;

import java.util.Optional;

/**
 * A tenant and what it was granted over the whole fleet.
 *
 * @param name unique name
 * @param rate admitted root requests a second
 * @param burst root requests that may be admitted at once
 * @param shares number of parts that the rate is divided into; fixed for the life of the team
 * @param importance order of shedding that goes before that of the route
 */
public record Team(String name, double rate, double burst, int shares, Optional<Importance> importance) {

    /**
     * A team whose requests are as important as their routes say.
     *
     * @param name unique name
     * @param rate admitted root requests a second
     * @param burst root requests that may be admitted at once
     * @param shares number of parts that the rate is divided into
     */
    public Team(String name, double rate, double burst, int shares) {
        this(name, rate, burst, shares, Optional.empty());
    }

    /**
     * Tells whether the team's requests are limited at all.
     *
     * @return false for a team without a rate
     */
    public boolean limited() {
        return rate > 0;
    }

    /**
     * Rate of one share.
     *
     * @return tokens a second
     */
    public double shareRate() {
        return rate / shares;
    }

    /**
     * Burst of one share.
     *
     * @return tokens
     */
    public double shareBurst() {
        return burst / shares;
    }
}
