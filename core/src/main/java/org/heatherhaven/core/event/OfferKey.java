package org.heatherhaven.core.event;

/**
 * Names one call offered to this node by a peer.
 *
 * @param link number of the connection, never reused by this process
 * @param stream number of the call on that connection, never reused on it
 */
public record OfferKey(long link, long stream) {}
