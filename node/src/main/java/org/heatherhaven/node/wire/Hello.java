package org.heatherhaven.node.wire;

/**
 * First frame of both sides of a connection.
 *
 * @param node address of the sender
 * @param epoch start of its process, milliseconds since 1970
 * @param nonce random bytes that the other side must prove the fleet secret with
 */
public record Hello(String node, long epoch, byte[] nonce) {}
