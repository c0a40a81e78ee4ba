package org.heatherhaven.core.model;

import java.util.Optional;

/**
 * A tenant with its rate limit, which applies to the whole fleet.
 *
 * @param name unique name
 * @param rate root requests admitted per second; 0 or less for no limit
 * @param burst root requests that may be admitted at once, capacity of the token bucket
 * @param shares number of equal shares that the rate is divided into; never changes for a team
 * @param importance importance that is compared before that of the route; empty to use that of the route
 */
public record Team(String name, double rate, double burst, int shares, Optional<Importance> importance) {

    /**
     * Creates a team whose requests have the importance of their routes.
     *
     * @param name unique name
     * @param rate root requests admitted per second; 0 or less for no limit
     * @param burst root requests that may be admitted at once, capacity of the token bucket
     * @param shares number of equal shares that the rate is divided into
     */
    public Team(String name, double rate, double burst, int shares) {
        this(name, rate, burst, shares, Optional.empty());
    }

    /**
     * Returns whether the team has a rate limit.
     *
     * @return false for a team without a rate
     */
    public boolean limited() {
        return rate > 0;
    }

    /**
     * Returns the rate of one share.
     *
     * @return tokens per second
     */
    public double shareRate() {
        return rate / shares;
    }

    /**
     * Returns the burst of one share.
     *
     * @return tokens
     */
    public double shareBurst() {
        return burst / shares;
    }
}
