package org.heatherhaven.core.model;

/**
 * One process life of a target, as its node reaches it.
 *
 * @param instance identifier that the target gave itself; empty if it gave none
 * @param address where it listens, in the form {@code host:port}
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
