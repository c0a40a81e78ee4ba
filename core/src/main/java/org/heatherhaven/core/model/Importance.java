package org.heatherhaven.core.model;

/** How important a request is; under overload the last constant is shed first. */
public enum Importance {
    CRITICAL,
    HIGH,
    NORMAL,
    LOW;

    /**
     * Orders importances from most to least important.
     *
     * @return 0 for the most important
     */
    public int rank() {
        return ordinal();
    }

    /**
     * Tells whether this outranks another importance.
     *
     * @param other the other importance
     * @return true if this one is shed strictly later
     */
    public boolean outranks(Importance other) {
        return ordinal() < other.ordinal();
    }
}
