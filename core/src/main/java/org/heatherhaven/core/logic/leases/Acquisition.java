package org.heatherhaven.core.logic.leases;

/** How a process became the holder of a lease. */
public enum Acquisition {
    /** The process created the object on the platform; nobody held the lease before. */
    CREATED,
    /** The process took over from a holder that stopped renewing, without any of that holder's state. */
    TAKEN_OVER,
    /** The previous holder handed over the lease together with its state. */
    HANDED_OVER
}
