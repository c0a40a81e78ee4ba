package org.heatherhaven.core.model;

/**
 * Identity of a node: the address its peers reach it at.
 *
 * @param value address in the form {@code host:port}
 */
public record NodeId(String value) implements Comparable<NodeId> {

    @Override
    public int compareTo(NodeId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
