package org.heatherhaven.core.logic.admission;

/** Admission strategies for the calls offered to a target; measurements compare them with each other. */
public enum AdmissionMode {
    /**
     * Concurrency limit and a queue ordered by urgency; entry nodes shed the least urgent root requests according to
     * the reported pressure.
     */
    RANKED(true, true, false),
    /**
     * Concurrency limit that decreases on failures, a queue ordered by importance, and shedding by hash bucket that
     * divides the capacity fairly among teams.
     */
    FAIR_SHED(true, true, true),
    /** Concurrency limit and a queue in order of arrival; no call is shed before the queue is full. */
    FIFO_QUEUE(true, false, false),
    /** Passes every call to the target at once, without a limit or a queue. */
    PASS_THROUGH(false, false, false);

    private final boolean limited;
    private final boolean ordered;
    private final boolean shedsBuckets;

    AdmissionMode(boolean limited, boolean ordered, boolean shedsBuckets) {
        this.limited = limited;
        this.ordered = ordered;
        this.shedsBuckets = shedsBuckets;
    }

    /**
     * Returns whether the number of concurrent calls at the target is limited.
     *
     * @return true if calls may have to wait in the queue
     */
    public boolean limited() {
        return limited;
    }

    /**
     * Returns whether the queue is ordered by importance or urgency.
     *
     * @return false if calls are started in order of arrival
     */
    public boolean ordered() {
        return ordered;
    }

    /**
     * Returns whether calls are shed by hash bucket before they enter the queue.
     *
     * @return true if admission thresholds are applied here and reported upstream
     */
    public boolean shedsBuckets() {
        return shedsBuckets;
    }

    /**
     * Returns whether root requests are shed according to the pressure behind their route.
     *
     * @return true if this target reports pressure and orders its queue by urgency
     */
    public boolean ranked() {
        return this == RANKED;
    }
}
