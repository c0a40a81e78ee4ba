package org.heatherhaven.node.entry;

/**
 * Limits on what callers may send.
 *
 * @param maxHeaderBytes largest request line, and largest sum of the headers of a request, bytes
 * @param maxBodyBytes largest body of a request, bytes
 * @param maxConnections largest number of open connections of a listener
 */
public record EntrySettings(int maxHeaderBytes, long maxBodyBytes, int maxConnections) {}
