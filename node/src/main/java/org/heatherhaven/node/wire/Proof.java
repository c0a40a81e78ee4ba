package org.heatherhaven.node.wire;

/**
 * Proves that the sender has a fleet secret.
 *
 * @param mac HMAC-SHA256, keyed with the secret, over the sender's role and both hellos
 */
public record Proof(byte[] mac) {}
