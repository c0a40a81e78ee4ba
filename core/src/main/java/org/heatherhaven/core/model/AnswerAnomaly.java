package org.heatherhaven.core.model;

import java.util.Locale;

/**
 * What a target sent beside or instead of the complete response to the call in hand. The label of each constant is
 * logged and names a metric.
 */
public enum AnswerAnomaly {
    /** Bytes arrived on an idle connection and form no complete response head yet; the connection stays open. */
    IDLE_BYTES,
    /** Bytes that arrived between two calls were decoded as a response; the connection was closed. */
    IDLE_RESPONSE,
    /** Bytes were left in the decoder when a call ended on a connection that is used again. */
    LEFTOVER_BYTES,
    /** A response that bears the id of another call was skipped. */
    OTHER_CALL,
    /** A response without an id was taken for the response to the call in hand. */
    NO_ID,
    /** A response was rejected as not valid. */
    INVALID,
    /** The connection failed while a response was being read. */
    BROKEN_OFF;

    /**
     * Returns the name used in log lines and metric names.
     *
     * @return lower-case label
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
