package org.heatherhaven.core.model;

/**
 * Load and overload feedback that the node of a target sends upstream with the end of every call.
 *
 * @param admissionThreshold admission threshold: how many of the 256 hash buckets of requests of this team and
 *     importance the route can serve at present
 * @param load calls running and queued at the target, in thousandths of its concurrency limit
 * @param pressure pressure of the targets behind the route, in thousandths; at 1,000 they can serve no further call
 * @param retriesLeft retries of the budget sent with the call that were not used
 */
public record Signal(int admissionThreshold, int load, int pressure, int retriesLeft) {

    /** Number of hash buckets that root requests are divided into; every threshold is a number of these. */
    public static final int BUCKETS = 256;

    /**
     * Returns the signal of a target without load or overload.
     *
     * @param retriesLeft retries that were not used
     * @return a signal that admits all buckets
     */
    public static Signal withoutOverload(int retriesLeft) {
        return new Signal(BUCKETS, 0, 0, retriesLeft);
    }
}
