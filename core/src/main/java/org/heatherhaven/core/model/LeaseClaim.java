package org.heatherhaven.core.model;

/**
 * A lease at one generation, as named in renewal messages between holder and standby.
 *
 * @param lease the lease
 * @param generation generation of its object on the platform
 */
public record LeaseClaim(LeaseId lease, long generation) {}
