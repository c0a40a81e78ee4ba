package org.heatherhaven.node.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.netty.channel.nio.NioEventLoopGroup;
import net.jqwik.api.Example;
import org.heatherhaven.node.recorded.Recorded;
import org.heatherhaven.node.recorded.Samples;

/**
 * Guards the paths, queries, preconditions and bodies of requests to the platform, and how its responses are parsed.
 */
class RecordedPlatformRequestsTest {

    private static final byte[] VALUE = "{\"a\":1}".getBytes(StandardCharsets.US_ASCII);

    private final List<String> requests = Collections.synchronizedList(new ArrayList<>());

    private void respond(HttpExchange exchange) throws IOException {
        String method = exchange.getRequestMethod();
        String header = "If-Match=" + exchange.getRequestHeaders().getFirst("If-Match") + " If-None-Match="
                + exchange.getRequestHeaders().getFirst("If-None-Match");
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        requests.add(method + " " + exchange.getRequestURI().toASCIIString() + " " + header + " body=" + body);
        boolean list = exchange.getRequestURI().getPath().endsWith("/objects");
        boolean create = exchange.getRequestHeaders().containsKey("If-None-Match");
        exchange.getResponseHeaders().set("ETag", "77");
        byte[] response = list
                ? "[{\"key\":\"members/a\",\"version\":5,\"value\":{\"b\":[2]}}]".getBytes(StandardCharsets.US_ASCII)
                : VALUE;
        if (method.equals("DELETE")) {
            exchange.sendResponseHeaders(204, -1);
        } else {
            exchange.sendResponseHeaders(create ? 201 : 200, response.length);
            exchange.getResponseBody().write(response);
        }
        exchange.close();
    }

    private static void require(boolean holds, String what) {
        if (!holds) {
            throw new AssertionError(what);
        }
    }

    /** Sends a request of each kind and checks the parsed responses. */
    private static void sendEachRequest(HttpPlatform platform) {
        String key = "rights/" + Samples.SHARE;
        Optional<StoredObject> found = platform.get(key).join();
        require(found.orElseThrow().version() == 77, "version of an object that was read");
        List<StoredObject> listed = platform.list("members/", "members/10.1.0.1:7001", 200, Duration.ofMillis(1_500))
                .join();
        require(
                listed.size() == 1
                        && listed.get(0).key().equals("members/a")
                        && listed.get(0).version() == 5
                        && new String(listed.get(0).value(), StandardCharsets.UTF_8).equals("{\"b\":[2]}"),
                "objects of a list");
        require(platform.create(key, VALUE).join().equals(OptionalLong.of(77)), "version of a created object");
        require(platform.update(key, VALUE, 76).join().equals(OptionalLong.of(77)), "version of an updated object");
        require(platform.delete(key, 77).join(), "a deletion");
    }

    @Example
    void requestsAreThoseRecorded() {
        HttpServer server = server();
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        String url = "http://127.0.0.1:" + server.getAddress().getPort() + "/base";
        try (HttpPlatform platform = new HttpPlatform(url, Duration.ofSeconds(20), group, () -> {})) {
            sendEachRequest(platform);
        } finally {
            server.stop(0);
            group.shutdownGracefully();
        }
        Recorded.requireSame("platform-requests.txt", List.copyOf(requests));
    }

    private HttpServer server() {
        try {
            HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
            server.createContext("/", this::respond);
            server.start();
            return server;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
