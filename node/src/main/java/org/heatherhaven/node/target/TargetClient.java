package org.heatherhaven.node.target;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;

import io.netty.channel.EventLoopGroup;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.uri.Uri;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Header;

/** Sends calls to the target. */
public final class TargetClient implements AutoCloseable {

    /** Header that carries the context id to the target and back. */
    public static final String CONTEXT_HEADER = "Heatherhaven-Context";

    /** Header that tells the target how long the answer is waited for, milliseconds. */
    public static final String TIMEOUT_HEADER = "Request-Timeout-Ms";

    private static final Duration CONNECT_LIMIT = Duration.ofMillis(500);
    private static final Duration IDLE_LIMIT = Duration.ofSeconds(50);

    private final TargetSettings settings;
    private final AsyncHttpClient client;

    /**
     * Creates a client without connections.
     *
     * @param settings the target
     * @param group threads of the connections
     */
    public TargetClient(TargetSettings settings, EventLoopGroup group) {
        this.settings = settings;
        this.client = Dsl.asyncHttpClient(new DefaultAsyncHttpClientConfig.Builder()
                .setEventLoopGroup(group)
                .setMaxConnectionsPerHost(settings.connections())
                .setConnectTimeout(CONNECT_LIMIT)
                .setPooledConnectionIdleTimeout(IDLE_LIMIT)
                // A request that must run at most once must not be sent again behind our back.
                .setMaxRequestRetry(0)
                .setFollowRedirect(false)
                .setCookieStore(null)
                .setUserAgent(null)
                .setCompressionEnforced(false)
                .setEnableAutomaticDecompression(false)
                .setDisableUrlEncodingForBoundRequests(true)
                .setTcpNoDelay(true)
                .build());
    }

    ListenableFuture<Void> send(
            CallHead head, Optional<TargetBody> body, String context, Duration timeout, TargetAnswer answer) {
        RequestBuilder builder = new RequestBuilder(head.method(), true)
                .setUri(Uri.create("http://" + settings.address().getHostString() + ":"
                        + settings.address().getPort() + head.path()))
                .setRequestTimeout(timeout)
                .setReadTimeout(timeout);
        for (Header header : head.headers()) {
            if (!header.name().equalsIgnoreCase("content-length")) {
                builder.addHeader(header.name(), header.value());
            }
        }
        builder.setHeader(CONTEXT_HEADER, context);
        builder.setHeader(TIMEOUT_HEADER, Long.toString(timeout.toMillis()));
        body.ifPresent(builder::setBody);
        Request request = builder.build();
        return client.executeRequest(request, answer);
    }

    @Override
    public void close() throws IOException {
        client.close();
    }
}
