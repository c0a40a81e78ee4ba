package org.heatherhaven.node;

import javax.net.ssl.SSLException;

import java.util.Optional;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import org.heatherhaven.node.settings.NodeSettings.TlsFiles;
import org.heatherhaven.node.settings.SettingsException;

/**
 * TLS contexts of the node's listeners and connections; all are empty if TLS is not configured.
 *
 * @param callerServer context of the listener for callers
 * @param peerServer context of the listener for peers, which must present a certificate
 * @param peerClient context of the connections opened to peers
 */
record TlsContexts(
        Optional<SslContext> callerServer, Optional<SslContext> peerServer, Optional<SslContext> peerClient) {

    /** Loads the TLS files; throws SettingsException if they can't be used. */
    static TlsContexts load(Optional<TlsFiles> files) {
        if (files.isEmpty()) {
            return new TlsContexts(Optional.empty(), Optional.empty(), Optional.empty());
        }
        TlsFiles tls = files.get();
        try {
            SslContext callers = SslContextBuilder.forServer(
                            tls.certificate().toFile(), tls.key().toFile())
                    .build();
            SslContext server = SslContextBuilder.forServer(
                            tls.certificate().toFile(), tls.key().toFile())
                    .trustManager(tls.authority().toFile())
                    .clientAuth(ClientAuth.REQUIRE)
                    .build();
            SslContext client = SslContextBuilder.forClient()
                    .keyManager(tls.certificate().toFile(), tls.key().toFile())
                    .trustManager(tls.authority().toFile())
                    // Nodes are identified by address and fleet secret, so certificates need no matching host name.
                    .endpointIdentificationAlgorithm(null)
                    .build();
            return new TlsContexts(Optional.of(callers), Optional.of(server), Optional.of(client));
        } catch (SSLException | IllegalArgumentException e) {
            throw new SettingsException(
                    SettingsException.Code.INVALID_VALUE, "tls: the files can't be used: " + e.getMessage());
        }
    }
}
