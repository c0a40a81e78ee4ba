package org.heatherhaven.core.model;

/** What is known about the execution of a request. */
public enum Outcome {
    /** Proven not to have run. */
    NOT_RUN("not-run"),
    /** May or may not have run. */
    UNKNOWN("unknown"),
    /** Ran. */
    RUN("run");

    private final String label;

    Outcome(String label) {
        this.label = label;
    }

    /**
     * Name shown to callers.
     *
     * @return lower-case label
     */
    public String label() {
        return label;
    }
}
