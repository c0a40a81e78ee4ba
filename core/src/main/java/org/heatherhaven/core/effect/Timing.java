package org.heatherhaven.core.effect;

/** What a node measures the time of; each constant has a histogram of its own. */
public enum Timing {

    /** From the arrival of a call at its entry node to its answer or refusal. */
    WHOLE_CALL("latency.whole-call"),

    /** From the offer of a call to a target's node to its start at the target. */
    QUEUE_WAIT("latency.waiting"),

    /** From the start of a call at the target to its end there. */
    TARGET("latency.target");

    private final String label;

    Timing(String label) {
        this.label = label;
    }

    /**
     * Name of the histogram.
     *
     * @return a metric name; its values are microseconds
     */
    public String label() {
        return label;
    }
}
