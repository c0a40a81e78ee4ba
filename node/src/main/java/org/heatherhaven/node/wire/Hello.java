package org.heatherhaven.node.wire;

/**
 * First frame that each side of a connection sends.
 *
 * @param node address of the sender
 * @param epoch start of the sender's process, milliseconds since 1970
 * @param nonce 16 random bytes that the receiver includes in its proof, so that a recorded proof can't be replayed
 */
public record Hello(String node, long epoch, byte[] nonce) {}
