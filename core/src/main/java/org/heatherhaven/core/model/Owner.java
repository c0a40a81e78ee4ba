package org.heatherhaven.core.model;

/**
 * One process life of a node, the party that may hold an exclusive right.
 *
 * @param node the node
 * @param epoch start of the process, milliseconds since 1970, larger for every restart
 */
public record Owner(NodeId node, long epoch) {}
