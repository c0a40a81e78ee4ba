package org.heatherhaven.core.model;

/**
 * Identifies a node by the address that its peers connect to.
 *
 * @param value address in the form {@code host:port}
 */
public record NodeId(String value) implements Comparable<NodeId> {

    private static final int MAX_PORT = 65_535;
    private static final int MAX_PORT_DIGITS = 5;

    /**
     * Returns whether the value is a host and a port that can be connected to. What other processes write need not be.
     *
     * @return true if a host and a port from 1 to 65,535 are given
     */
    public boolean namesAddress() {
        int colon = value.lastIndexOf(':');
        String port = value.substring(colon + 1);
        boolean digits = !port.isEmpty()
                && port.length() <= MAX_PORT_DIGITS
                && port.chars().allMatch(c -> c >= '0' && c <= '9');
        return colon > 0 && digits && Integer.parseInt(port) >= 1 && Integer.parseInt(port) <= MAX_PORT;
    }

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
