package org.heatherhaven.node.platform;

import javax.net.ssl.SSLEngine;

import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.SslEngineFactory;

/**
 * TLS engine factory for a client that connects to the platform without TLS. It replaces the default factory, which
 * loads the trust store when the client is created.
 */
public final class NoTlsEngineFactory implements SslEngineFactory {

    private static final String HTTPS_SCHEME = "https:";

    private NoTlsEngineFactory() {}

    /**
     * Configures a client without TLS unless the platform's URL uses HTTPS.
     *
     * @param builder configuration of the client
     * @param platformUrl base URL of the platform
     * @return the same builder
     */
    public static DefaultAsyncHttpClientConfig.Builder withoutTlsUnlessHttps(
            DefaultAsyncHttpClientConfig.Builder builder, String platformUrl) {
        return platformUrl.startsWith(HTTPS_SCHEME) ? builder : builder.setSslEngineFactory(new NoTlsEngineFactory());
    }

    @Override
    public SSLEngine newSslEngine(AsyncHttpClientConfig config, String peerHost, int peerPort) {
        throw new UnsupportedOperationException("TLS is not configured for the platform: " + peerHost);
    }
}
