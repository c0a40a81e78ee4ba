package org.heatherhaven.core.model;

/**
 * A tenant and what it was granted over the whole fleet.
 *
 * @param name unique name
 * @param rate admitted root requests a second
 * @param burst root requests that may be admitted at once
 * @param shares number of parts that the rate is divided into; fixed for the life of the team
 */
public record Team(String name, double rate, double burst, int shares) {

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
