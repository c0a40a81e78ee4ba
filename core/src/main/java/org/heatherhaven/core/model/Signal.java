package org.heatherhaven.core.model;

/**
 * What the node of a target tells upstream with the end of every call.
 *
 * @param admissionThreshold how many of 256 cohorts of this team and importance the route can serve at present
 * @param load calls in work and waiting at the target, in thousandths of its limit
 * @param pressure how hard pressed the targets behind the route are, in thousandths; at 1,000 nothing more fits
 * @param retriesLeft unspent part of the retry budget that came with the call
 */
public record Signal(int admissionThreshold, int load, int pressure, int retriesLeft) {

    /** Number of cohorts that root requests are divided into. */
    public static final int BUCKETS = 256;

    /**
     * The signal of a target without overload.
     *
     * @param pressure how hard pressed the targets behind the route are, in thousandths; at 1,000 nothing more fits
     * @param retriesLeft unspent retry budget
     * @return a signal that keeps all cohorts
     */
    public static Signal withoutOverload(int retriesLeft) {
        return new Signal(BUCKETS, 0, 0, retriesLeft);
    }
}
