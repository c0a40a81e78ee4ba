package org.heatherhaven.standin.measure;

/** Parts of a run. */
public enum Phase {
    WARM_UP(0.15),
    ORDINARY(0.20),
    DISTURBED(0.30),
    AFTER(0.35);

    private final double fraction;

    Phase(double part) {
        this.fraction = part;
    }

    /**
     * Length of this phase.
     *
     * @param seconds length of the run
     * @return milliseconds
     */
    public long millis(int seconds) {
        return (long) (fraction * seconds * 1_000);
    }
}
