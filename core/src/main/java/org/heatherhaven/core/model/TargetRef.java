package org.heatherhaven.core.model;

/**
 * Identifies one process of a target and the address that its node connects to.
 *
 * @param instance identifier that the target reported for this process; empty if it reported none
 * @param address address that it listens on, in the form {@code host:port}
 */
public record TargetRef(String instance, String address) {
    private static final int PRIME = 31;

    @Override
    public boolean equals(Object other) {
        return other instanceof TargetRef that && instance.equals(that.instance) && address.equals(that.address);
    }

    @Override
    public int hashCode() {
        return PRIME * instance.hashCode() + address.hashCode();
    }
}
