package org.heatherhaven.core.model;

/** States whether a request has run, as far as is known; the ordinal is sent to peers. */
public enum Outcome {
    /** Has certainly not run. */
    NOT_RUN("not-run"),
    /** May or may not have run. */
    UNKNOWN("unknown"),
    /** Has certainly run. */
    RUN("run");

    private final String label;

    Outcome(String label) {
        this.label = label;
    }

    /**
     * Returns the name shown to callers.
     *
     * @return lower-case label
     */
    public String label() {
        return label;
    }
}
