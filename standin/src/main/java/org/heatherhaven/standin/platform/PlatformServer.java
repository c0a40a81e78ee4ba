package org.heatherhaven.standin.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.netty.channel.EventLoopGroup;
import org.heatherhaven.standin.http.StandinServer;
import org.heatherhaven.standin.http.StandinServer.Reply;
import org.heatherhaven.standin.http.StandinServer.Request;
import org.heatherhaven.standin.platform.ObjectStore.StoredObject;
import org.heatherhaven.standin.platform.ObjectStore.WriteOutcome;
import org.heatherhaven.standin.platform.ObjectStore.WriteResult;

/** Serves the object API over HTTP; {@code POST /faults} sets the simulated faults. */
public final class PlatformServer {

    private static final String OBJECTS_PATH = "/objects";
    private static final Duration WATCH_POLL_INTERVAL = Duration.ofMillis(10);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ObjectStore store = new ObjectStore();
    private final StandinServer server = new StandinServer(this::handle);
    private final EventLoopGroup group;
    private final SplittableRandom random;
    private volatile PlatformFaults faults = PlatformFaults.NONE;

    /**
     * Creates a platform without objects.
     *
     * @param group threads of the connections and of delayed responses
     * @param seed seed of the random choice of lost responses
     */
    public PlatformServer(EventLoopGroup group, long seed) {
        this.group = group;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Starts to listen.
     *
     * @param address address to bind; port 0 for any free port
     * @return bound address
     */
    public InetSocketAddress listen(InetSocketAddress address) {
        return server.listen(group, address);
    }

    /**
     * Sets the simulated faults.
     *
     * @param newFaults faults of later requests; {@code down} also ends requests that wait for objects
     */
    public void setFaults(PlatformFaults newFaults) {
        faults = newFaults;
    }

    /**
     * Returns the objects with their read and write counters.
     *
     * @return store of this server
     */
    public ObjectStore store() {
        return store;
    }

    /** Stops listening and closes all connections. */
    public void close() {
        server.close();
    }

    private CompletableFuture<Reply> handle(Request request) {
        if (request.path().equals("/faults")) {
            return CompletableFuture.completedFuture(changeFaults(request));
        }
        PlatformFaults activeFaults = faults;
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        group.schedule(
                () -> process(request, activeFaults, reply),
                activeFaults.delay().toMillis(),
                TimeUnit.MILLISECONDS);
        return reply;
    }

    private Reply changeFaults(Request request) {
        try {
            JsonNode body = JSON.readTree(request.body());
            setFaults(new PlatformFaults(
                    body.path("down").asBoolean(),
                    Duration.ofMillis(body.path("delay_ms").asLong()),
                    body.path("lose_answers").asDouble()));
            return Reply.of(204, new byte[0]);
        } catch (IOException e) {
            return Reply.of(400, new byte[0]);
        }
    }

    private void process(Request request, PlatformFaults activeFaults, CompletableFuture<Reply> reply) {
        if (activeFaults.down()) {
            reply.complete(Reply.of(503, new byte[0]));
        } else if (request.method().equals("GET") && request.path().equals(OBJECTS_PATH)) {
            long waitMillis = Long.parseLong(request.query().getOrDefault("wait_ms", "0"));
            replyWithList(
                    request, System.nanoTime() + Duration.ofMillis(waitMillis).toNanos(), reply);
        } else {
            Reply completed = handleObject(request);
            boolean write = !request.method().equals("GET");
            if (write && losesResponse(activeFaults)) {
                reply.completeExceptionally(new IOException("simulated loss of the response"));
            } else {
                reply.complete(completed);
            }
        }
    }

    private synchronized boolean losesResponse(PlatformFaults activeFaults) {
        return activeFaults.lostResponseFraction() > 0 && random.nextDouble() < activeFaults.lostResponseFraction();
    }

    private void replyWithList(Request request, long until, CompletableFuture<Reply> reply) {
        List<StoredObject> found = store.list(
                request.query().getOrDefault("prefix", ""),
                request.query().getOrDefault("after", ""),
                Integer.parseInt(request.query().getOrDefault("limit", "100")));
        if (found.isEmpty() && System.nanoTime() < until && !faults.down()) {
            group.schedule(
                    () -> replyWithList(request, until, reply), WATCH_POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
            return;
        }
        reply.complete(faults.down() ? Reply.of(503, new byte[0]) : Reply.of(200, toJson(found)));
    }

    private static byte[] toJson(List<StoredObject> found) {
        try {
            ArrayNode array = JSON.createArrayNode();
            for (StoredObject object : found) {
                array.addObject()
                        .put("key", object.key())
                        .put("version", object.version())
                        .set("value", JSON.readTree(object.value()));
            }
            return JSON.writeValueAsBytes(array);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        } catch (IOException e) {
            throw new IllegalStateException("a stored object is not valid JSON", e);
        }
    }

    private Reply handleObject(Request request) {
        String key = request.path().substring(OBJECTS_PATH.length() + 1);
        return switch (request.method()) {
            case "GET" ->
                store.get(key)
                        .map(object -> replyWithVersion(200, object.version(), object.value()))
                        .orElse(Reply.of(404, new byte[0]));
            case "PUT" -> putObject(key, request);
            case "DELETE" ->
                Reply.of(
                        statusOf(
                                store.delete(
                                        key, Long.parseLong(request.headers().get("if-match"))),
                                204),
                        new byte[0]);
            default -> Reply.of(405, new byte[0]);
        };
    }

    private Reply putObject(String key, Request request) {
        boolean create = request.headers().containsKey("if-none-match");
        WriteResult written = create
                ? store.create(key, request.body())
                : store.update(
                        key, request.body(), Long.parseLong(request.headers().get("if-match")));
        return replyWithVersion(statusOf(written.outcome(), create ? 201 : 200), written.version(), new byte[0]);
    }

    private static int statusOf(WriteOutcome outcome, int success) {
        return switch (outcome) {
            case APPLIED -> success;
            case PRECONDITION_FAILED -> 412;
            case NOT_FOUND -> 404;
        };
    }

    private static Reply replyWithVersion(int status, long version, byte[] body) {
        return new Reply(status, Map.of("ETag", Long.toString(version)), body);
    }
}
