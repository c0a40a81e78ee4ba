package org.heatherhaven.core.model;

/** Ranks requests for load shedding, most important first; under overload the last constant is shed first. */
public enum Importance {
    CRITICAL,
    HIGH,
    NORMAL,
    LOW;

    /**
     * Returns the position in the order from most to least important.
     *
     * @return 0 for the most important
     */
    public int rank() {
        return ordinal();
    }

    /**
     * Returns whether this is more important than another importance.
     *
     * @param other the other importance
     * @return true if this one is shed strictly later
     */
    public boolean outranks(Importance other) {
        return ordinal() < other.ordinal();
    }
}
