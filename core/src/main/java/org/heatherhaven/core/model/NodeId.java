package org.heatherhaven.core.model;

/**
 * Identifies a node by the address that its peers connect to.
 *
 * @param value address in the form {@code host:port}
 */
public record NodeId(String value) implements Comparable<NodeId> {
    @Override
    public boolean equals(Object other) {
        return other instanceof NodeId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(NodeId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
