package org.heatherhaven.core.model;

/**
 * One process life of a target, as its node reaches it.
 *
 * @param instance identifier that the target gave itself; empty if it gave none
 * @param address where it listens, in the form {@code host:port}
 */
public record TargetRef(String instance, String address) {}
