package org.heatherhaven.node.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Response;

/**
 * Client of the platform's object API over HTTP. Entity tags carry the versions of objects, and HTTP preconditions make
 * writes conditional.
 */
public final class HttpPlatform implements Platform, AutoCloseable {

    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int MAX_CONNECTIONS = 16;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String baseUrl;
    private final Duration timeout;
    private final Runnable callCounter;
    private final AsyncHttpClient client;

    /**
     * Creates a client; each call opens a connection of its own.
     *
     * @param baseUrl base URL of the platform
     * @param timeout limit for connecting and for each response; a waiting list adds its waiting time
     * @param group event loops of the connections
     * @param callCounter runs once for each call that is sent
     */
    public HttpPlatform(String baseUrl, Duration timeout, EventLoopGroup group, Runnable callCounter) {
        this.baseUrl = baseUrl;
        this.timeout = timeout;
        this.callCounter = callCounter;
        this.client = Dsl.asyncHttpClient(NoTlsEngineFactory.withoutTlsUnlessHttps(
                        new DefaultAsyncHttpClientConfig.Builder(), baseUrl)
                .setEventLoopGroup(group)
                .setConnectTimeout(timeout)
                .setMaxConnections(MAX_CONNECTIONS)
                // A response does not name its request, so a second copy of it on a kept connection would be taken for
                // the response to the next call.
                .setKeepAlive(false)
                // If the HTTP client retried a conditional write by itself, the result of the first attempt would look
                // like a write of another node.
                .setMaxRequestRetry(0)
                .build());
    }

    @Override
    public CompletableFuture<Optional<StoredObject>> get(String key) {
        return send(client.prepareGet(objectUrl(key)), timeout).thenApply(response -> {
            if (response.getStatusCode() == NOT_FOUND) {
                return Optional.empty();
            }
            requireStatus(response, OK);
            return Optional.of(new StoredObject(key, versionOf(response), response.getResponseBodyAsBytes()));
        });
    }

    @Override
    public CompletableFuture<List<StoredObject>> list(String prefix, String after, int limit, Duration maxWait) {
        BoundRequestBuilder request = client.prepareGet(baseUrl + "/objects")
                .addQueryParam("prefix", prefix)
                .addQueryParam("after", after)
                .addQueryParam("limit", Integer.toString(limit))
                .addQueryParam("wait_ms", Long.toString(maxWait.toMillis()));
        return send(request, timeout.plus(maxWait)).thenApply(response -> {
            requireStatus(response, OK);
            return parseList(response);
        });
    }

    private static List<StoredObject> parseList(Response response) {
        try {
            JsonNode list = JSON.readTree(response.getResponseBodyAsBytes());
            if (!list.isArray()) {
                // An answer without a length that ends before its first byte would look like an empty list.
                throw new IllegalArgumentException("not a list");
            }
            List<StoredObject> objects = new ArrayList<>();
            for (JsonNode node : list) {
                byte[] value = JSON.writeValueAsBytes(node.required("value"));
                objects.add(new StoredObject(
                        node.required("key").asText(), node.required("version").asLong(), value));
            }
            return objects;
        } catch (IOException | IllegalArgumentException e) {
            throw new PlatformException(
                    PlatformException.Code.MALFORMED_RESPONSE, "the platform's list of objects can't be parsed");
        }
    }

    @Override
    public CompletableFuture<OptionalLong> create(String key, byte[] value) {
        return write(
                client.preparePut(objectUrl(key))
                        .addHeader("If-None-Match", "*")
                        .setBody(value),
                CREATED);
    }

    @Override
    public CompletableFuture<OptionalLong> update(String key, byte[] value, long version) {
        return write(
                client.preparePut(objectUrl(key))
                        .addHeader("If-Match", Long.toString(version))
                        .setBody(value),
                OK);
    }

    private CompletableFuture<OptionalLong> write(BoundRequestBuilder request, int expected) {
        return send(request, timeout).thenApply(response -> {
            int status = response.getStatusCode();
            if (status == PRECONDITION_FAILED || status == NOT_FOUND) {
                return OptionalLong.empty();
            }
            requireStatus(response, expected);
            return OptionalLong.of(versionOf(response));
        });
    }

    @Override
    public CompletableFuture<Boolean> delete(String key, long version) {
        BoundRequestBuilder request =
                client.prepareDelete(objectUrl(key)).addHeader("If-Match", Long.toString(version));
        return send(request, timeout).thenApply(response -> response.getStatusCode() == NO_CONTENT);
    }

    private CompletableFuture<Response> send(BoundRequestBuilder request, Duration limit) {
        callCounter.run();
        return request.setRequestTimeout(limit)
                .setReadTimeout(limit)
                .execute(new LimitedResponseHandler())
                .toCompletableFuture()
                .exceptionally(cause -> {
                    throw new CompletionException(
                            new PlatformException(PlatformException.Code.UNREACHABLE, cause.toString()));
                });
    }

    private static void requireStatus(Response response, int status) {
        if (response.getStatusCode() != status) {
            PlatformException.Code code = response.getStatusCode() == TOO_MANY_REQUESTS
                    ? PlatformException.Code.BUSY
                    : PlatformException.Code.UNREACHABLE;
            throw new PlatformException(code, "the platform responded with status " + response.getStatusCode());
        }
    }

    private static long versionOf(Response response) {
        try {
            return Long.parseLong(response.getHeader("ETag"));
        } catch (NumberFormatException e) {
            throw new PlatformException(
                    PlatformException.Code.MALFORMED_RESPONSE,
                    "the platform's response has no version in its ETag header");
        }
    }

    private String objectUrl(String key) {
        return baseUrl + "/objects/" + URLEncoder.encode(key, StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        try {
            client.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
