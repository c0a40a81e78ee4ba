package org.heatherhaven.node.wire;

/**
 * Proves knowledge of a fleet secret.
 *
 * @param mac HMAC-SHA256 over the role and both hellos
 */
public record Proof(byte[] mac) {}
