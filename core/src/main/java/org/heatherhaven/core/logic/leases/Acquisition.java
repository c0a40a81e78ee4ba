package org.heatherhaven.core.logic.leases;

/** How a process became holder of a right. */
public enum Acquisition {
    /** It created the object: nobody held the right before. */
    CREATED,
    /** It took over from a holder that fell silent, and knows nothing of what that one did. */
    TAKEN_OVER,
    /** The holder before handed over all that it knew. */
    HANDED_OVER
}
