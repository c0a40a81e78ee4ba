package org.heatherhaven.node.entry;

/**
 * Bounds of what a caller may send.
 *
 * @param maxHeaderBytes largest head of a request, bytes
 * @param maxBodyBytes largest body of a request, bytes
 * @param maxConnections connections accepted at a time
 */
public record EntrySettings(int maxHeaderBytes, long maxBodyBytes, int maxConnections) {}
