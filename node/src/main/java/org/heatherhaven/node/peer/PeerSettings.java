package org.heatherhaven.node.peer;

import java.security.SecureRandom;
import java.util.Optional;

import io.netty.handler.ssl.SslContext;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.node.wire.FleetSecrets;
import org.heatherhaven.node.wire.Hello;

/**
 * Settings of the connections between nodes.
 *
 * @param self this node and the epoch of its process
 * @param secrets secrets of the fleet
 * @param maxFrameBytes largest frame accepted, bytes without the length field
 * @param serverTls TLS of connections that peers open, empty for plain text
 * @param clientTls TLS of connections that this node opens, empty for plain text
 */
public record PeerSettings(
        Owner self,
        FleetSecrets secrets,
        int maxFrameBytes,
        Optional<SslContext> serverTls,
        Optional<SslContext> clientTls) {

    private static final int NONCE_BYTES = 16;
    private static final SecureRandom RANDOM = new SecureRandom();

    /** Creates the hello of one connection with a new random nonce. */
    Hello hello() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return new Hello(self.node().value(), self.epoch(), nonce);
    }
}
