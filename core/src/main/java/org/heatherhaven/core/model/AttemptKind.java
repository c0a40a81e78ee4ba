package org.heatherhaven.core.model;

/** What an attempt of a call is to the service that it is offered to. */
public enum AttemptKind {
    /** The first offer of the call. */
    FIRST,
    /** Nodes turned the call back before any target saw it. */
    REROUTED,
    /** A target was reached before, so that this is an arrival beyond the first. */
    RETRY;

    /**
     * Tells whether the call is new to the service's nodes.
     *
     * @return false if another of them has counted it already
     */
    public boolean first() {
        return this == FIRST;
    }
}
