package org.heatherhaven.core.model;

/** Classifies an attempt of a call by what happened to earlier attempts; the ordinal is sent to peers. */
public enum AttemptKind {
    /** The first attempt of the call. */
    FIRST,
    /** A later attempt; nodes refused the earlier ones before any target received the call. */
    REROUTED,
    /** A later attempt; an earlier one had reached a target, so the service receives the call again. */
    RETRY;

    /**
     * Returns whether this is the first attempt, which no other node of the service has counted.
     *
     * @return false if another node of the service has already counted the call
     */
    public boolean first() {
        return this == FIRST;
    }
}
