package org.heatherhaven.core.effect;

/** Durations that a node measures, each in its own histogram. */
public enum Timing {

    /** From the arrival of a call at its entry node until it is answered or refused. */
    WHOLE_CALL("latency.whole-call"),

    /** From the offer of a call to a target's node until the call starts at the target. */
    QUEUE_WAIT("latency.waiting"),

    /** From the start of a call at the target until it ends there. */
    TARGET("latency.target");

    private final String label;

    Timing(String label) {
        this.label = label;
    }

    /**
     * Returns the name of the histogram.
     *
     * @return metric name; the values are in microseconds
     */
    public String label() {
        return label;
    }
}
