package org.heatherhaven.core.event;

/**
 * Identifies a call that a peer offered to this node.
 *
 * @param link number of the connection, never reused by this process
 * @param stream number of the call on that connection, never reused on it
 */
public record OfferKey(long link, long stream) {
    private static final int PRIME = 31;

    @Override
    public boolean equals(Object other) {
        return other instanceof OfferKey that && link == that.link && stream == that.stream;
    }

    @Override
    public int hashCode() {
        return PRIME * Long.hashCode(link) + Long.hashCode(stream);
    }
}
