package org.heatherhaven.node.platform;

import javax.net.ssl.SSLEngine;

import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.SslEngineFactory;

/** Keeps the HTTP client from loading the trust store at its start where the platform is spoken to without TLS. */
public final class NoTlsEngineFactory implements SslEngineFactory {

    private static final String HTTPS_SCHEME = "https:";

    private NoTlsEngineFactory() {}

    /**
     * Leaves TLS out of a client's settings if the platform's address does not ask for it.
     *
     * @param builder settings of the client
     * @param platformUrl address of the platform
     * @return the same settings
     */
    public static DefaultAsyncHttpClientConfig.Builder withoutTlsUnlessHttps(
            DefaultAsyncHttpClientConfig.Builder builder, String platformUrl) {
        return platformUrl.startsWith(HTTPS_SCHEME) ? builder : builder.setSslEngineFactory(new NoTlsEngineFactory());
    }

    @Override
    public SSLEngine newSslEngine(AsyncHttpClientConfig config, String peerHost, int peerPort) {
        throw new UnsupportedOperationException("no TLS was set up for the platform: " + peerHost);
    }
}
