package org.heatherhaven.node.peer;

import java.security.SecureRandom;
import java.util.Optional;

import io.netty.handler.ssl.SslContext;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.node.wire.FleetSecrets;
import org.heatherhaven.node.wire.Hello;

/**
 * What connections between nodes need.
 *
 * @param self this process
 * @param secrets the fleet's secrets
 * @param maxFrameBytes largest frame accepted, bytes
 * @param serverTls TLS towards peers that connect, if configured
 * @param clientTls TLS towards peers that are connected to, if configured
 */
public record PeerSettings(
        Owner self,
        FleetSecrets secrets,
        int maxFrameBytes,
        Optional<SslContext> serverTls,
        Optional<SslContext> clientTls) {

    private static final int NONCE_BYTES = 16;
    private static final SecureRandom RANDOM = new SecureRandom();

    Hello hello() {
        byte[] nonce = new byte[NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return new Hello(self.node().value(), self.epoch(), nonce);
    }
}
