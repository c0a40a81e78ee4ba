package org.heatherhaven.core.model;

/**
 * One process life of a node, the party that may hold an exclusive right.
 *
 * @param node the node
 * @param epoch start of the process, milliseconds since 1970, larger for every restart
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
