package org.heatherhaven.standin.measure;

/** Phases of a run, each with its fraction of the length of the run. */
public enum Phase {
    WARM_UP(0.15),
    ORDINARY(0.20),
    DISTURBED(0.30),
    AFTER(0.35);

    private final double fraction;

    Phase(double fraction) {
        this.fraction = fraction;
    }

    /**
     * Returns the length of this phase.
     *
     * @param seconds length of the whole run
     * @return length in milliseconds
     */
    public long millis(int seconds) {
        return (long) (fraction * seconds * 1_000);
    }
}
