package org.heatherhaven.core.logic.admission;

/** Ways of guarding a target that can be compared with each other. */
public enum AdmissionMode {
    /** Limit of concurrency, ordered queue, the least urgent root requests shut out at the door by pressure. */
    RANKED(true, true, false),
    /** Limit of concurrency that backs off on failures, ordered queue, cohorts shed fairly. */
    FAIR_SHED(true, true, true),
    /** As above, but calls queue in order of arrival and nothing is shed early. */
    FIFO_QUEUE(true, false, false),
    /** Everything goes to the target at once. */
    PASS_THROUGH(false, false, false);

    private final boolean limited;
    private final boolean ordered;
    private final boolean shedsBuckets;

    AdmissionMode(boolean limited, boolean ordered, boolean sheds) {
        this.limited = limited;
        this.ordered = ordered;
        this.shedsBuckets = sheds;
    }

    /**
     * Tells whether concurrency at the target is limited.
     *
     * @return true if calls may have to wait
     */
    public boolean limited() {
        return limited;
    }

    /**
     * Tells whether the queue is ordered by worth.
     *
     * @return false for order of arrival
     */
    public boolean ordered() {
        return ordered;
    }

    /**
     * Tells whether cohorts are shed before they queue.
     *
     * @return true if upstream is told what to shed
     */
    public boolean shedsBuckets() {
        return shedsBuckets;
    }

    /**
     * Tells whether root requests are shut out by the pressure behind their route.
     *
     * @return true if pressure is heeded
     */
    public boolean ranked() {
        return this == RANKED;
    }
}
