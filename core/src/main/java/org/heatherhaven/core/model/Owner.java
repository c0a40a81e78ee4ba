package org.heatherhaven.core.model;

/**
 * Identifies one process of a node as a possible holder of leases. The text of {@link #toString()} goes into hashes and
 * decision logs.
 *
 * @param node the node
 * @param epoch start time of the process, milliseconds since 1970; larger after every restart
 */
public record Owner(NodeId node, long epoch) {
    private static final int PRIME = 31;

    @Override
    public boolean equals(Object other) {
        return other instanceof Owner that && node.equals(that.node) && epoch == that.epoch;
    }

    @Override
    public int hashCode() {
        return PRIME * node.hashCode() + Long.hashCode(epoch);
    }
}
