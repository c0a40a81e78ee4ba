package org.heatherhaven.core.model;

/**
 * A right at one generation, as asked about between holder and standby.
 *
 * @param lease the right
 * @param generation generation of its platform object
 */
public record LeaseClaim(LeaseId lease, long generation) {}
