package org.heatherhaven.standin.target;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.zip.CRC32;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Response;
import org.heatherhaven.standin.http.StandinServer;
import org.heatherhaven.standin.http.StandinServer.Reply;
import org.heatherhaven.standin.http.StandinServer.Request;

/**
 * A target that works on a limited number of calls at a time and makes calls of its own through its node.
 *
 * <p>It answers with the text {@code SERVICE:ID:LENGTH-CHECKSUM:SIZE:}, length and checksum
 * of the request's body, and as many filler bytes as the query asks for, so that a caller
 * can tell whether the answer is whole and its own. GET /standin tells what it saw; POST /standin changes its pace.
 */
public final class TargetServer {

    private static final String CONTEXT_HEADER = "heatherhaven-context";
    private static final Duration NESTED_CALL_TIMEOUT = Duration.ofSeconds(5);
    private static final double WORK_TIME_SPREAD = 0.2;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final TargetBehavior behavior;
    private final String nodeUrl;
    private final EventLoopGroup group;
    private final AsyncHttpClient client;
    private final StandinServer server = new StandinServer(this::handle);
    private final Queue<Job> queuedJobs = new ArrayDeque<>();
    private final Map<String, AtomicLong> runsByKey = new ConcurrentHashMap<>();
    private final AtomicLong runs = new AtomicLong();
    private final AtomicLong requestsWithCallerKey = new AtomicLong();
    private final SplittableRandom random;
    private int busySlots;
    private volatile double slowness = 1;
    private volatile boolean refusing;

    private record Job(Request request, CompletableFuture<Reply> reply) {}

    /**
     * Creates a target that does not listen yet.
     *
     * @param plan what it does
     * @param nodeUrl where its node takes its calls
     * @param group threads of the connections
     * @param seed start of the random work times
     */
    public TargetServer(TargetBehavior plan, String nodeUrl, EventLoopGroup group, long seed) {
        this.behavior = plan;
        this.nodeUrl = nodeUrl;
        this.group = group;
        this.random = new SplittableRandom(seed);
        this.client = Dsl.asyncHttpClient(new DefaultAsyncHttpClientConfig.Builder()
                .setEventLoopGroup(group)
                .setMaxRequestRetry(0)
                .setRequestTimeout(NESTED_CALL_TIMEOUT)
                .build());
    }

    /**
     * Starts to listen.
     *
     * @param address where to listen; port 0 for any
     * @return the address in use
     */
    public InetSocketAddress listen(InetSocketAddress address) {
        return server.listen(group, address);
    }

    /**
     * Changes the pace of the work.
     *
     * @param factor 1 for the planned pace, 10 for a tenth of it
     */
    public void setSlowness(double factor) {
        slowness = factor;
    }

    /**
     * Lets the target say that it is overloaded, whatever is asked.
     *
     * @param refuse true to refuse
     */
    public void setRefusing(boolean refuse) {
        refusing = refuse;
    }

    /**
     * Executions so far, by idempotency key.
     *
     * @return number of executions of each key
     */
    public Map<String, AtomicLong> runsByKey() {
        return runsByKey;
    }

    /**
     * Executions so far.
     *
     * @return executions
     */
    public long runs() {
        return runs.get();
    }

    /**
     * Requests that carried a caller's key.
     *
     * @return requests; anything but zero breaks a promise
     */
    public long requestsWithCallerKey() {
        return requestsWithCallerKey.get();
    }

    /** Ends the target at once. */
    public void close() {
        server.close();
        try {
            client.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private CompletableFuture<Reply> handle(Request request) {
        if (request.path().equals("/standin")) {
            return CompletableFuture.completedFuture(control(request));
        }
        if (request.headers().containsKey("authorization")) {
            requestsWithCallerKey.incrementAndGet();
        }
        if (refusing) {
            return CompletableFuture.completedFuture(Reply.of(503, new byte[0]));
        }
        Job job = new Job(request, new CompletableFuture<>());
        synchronized (this) {
            if (busySlots >= behavior.slots()) {
                queuedJobs.add(job);
                return job.reply();
            }
            busySlots++;
        }
        startWork(job);
        return job.reply();
    }

    private Reply control(Request request) {
        if (request.method().equals("POST")) {
            setSlowness(Double.parseDouble(request.query().getOrDefault("slowness", "1")));
            setRefusing(Boolean.parseBoolean(request.query().getOrDefault("refuse", "false")));
        }
        try {
            return Reply.of(
                    200,
                    JSON.writeValueAsBytes(
                            Map.of("runs", runs, "keys_seen", requestsWithCallerKey, "runs_by_key", runsByKey)));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private void startWork(Job job) {
        runs.incrementAndGet();
        String key = job.request().headers().get("idempotency-key");
        if (key != null) {
            runsByKey.computeIfAbsent(key, any -> new AtomicLong()).incrementAndGet();
        }
        long nanos;
        synchronized (this) {
            double factor = 1 - WORK_TIME_SPREAD + 2 * WORK_TIME_SPREAD * random.nextDouble();
            nanos = (long) (behavior.meanWorkTime().toNanos() * factor * slowness);
        }
        group.schedule(() -> makeNestedCalls(job, nestedPaths(job.request()), 0), nanos, TimeUnit.NANOSECONDS);
    }

    private List<String> nestedPaths(Request request) {
        return behavior.nestedCalls().entrySet().stream()
                .filter(entry -> request.path().startsWith(entry.getKey()))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElse(List.of());
    }

    private void makeNestedCalls(Job job, List<String> paths, int index) {
        if (index == paths.size()) {
            finishJob(job, Reply.of(200, responseBody(job.request())));
            return;
        }
        BoundRequestBuilder nested = client.prepareGet(nodeUrl + paths.get(index));
        nested.addHeader(CONTEXT_HEADER, job.request().headers().getOrDefault(CONTEXT_HEADER, "none"));
        nested.execute().toCompletableFuture().whenComplete((response, failure) -> {
            if (failure != null || response.getStatusCode() != 200) {
                finishJob(job, Reply.of(500, failureText(response, failure)));
            } else {
                makeNestedCalls(job, paths, index + 1);
            }
        });
    }

    private static byte[] failureText(Response response, Throwable failure) {
        String text = failure == null
                ? "nested call: " + response.getStatusCode() + " " + response.getResponseBody()
                : failure.toString();
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Checksum of a body, as targets put it into their answers.
     *
     * @param body the body
     * @return the checksum
     */
    public static String checksum(byte[] body) {
        CRC32 crc = new CRC32();
        crc.update(body);
        return Long.toHexString(crc.getValue());
    }

    private byte[] responseBody(Request request) {
        int size = Integer.parseInt(request.query().getOrDefault("size", "0"));
        String head = behavior.service() + ":" + request.query().getOrDefault("id", "") + ":" + request.body().length
                + "-" + checksum(request.body()) + ":" + size + ":";
        byte[] bytes = Arrays.copyOf(head.getBytes(StandardCharsets.UTF_8), head.length() + size);
        for (int i = head.length(); i < bytes.length; i++) {
            bytes[i] = (byte) ('a' + (i - head.length()) % 26);
        }
        return bytes;
    }

    private void finishJob(Job job, Reply reply) {
        job.reply().complete(reply);
        Job next = null;
        synchronized (this) {
            while (!queuedJobs.isEmpty()) {
                Job candidate = queuedJobs.poll();
                // Work whose caller has left is not begun.
                if (!candidate.request().connectionClosed().isDone()) {
                    next = candidate;
                    break;
                }
            }
            if (next == null) {
                busySlots--;
            }
        }
        if (next != null) {
            startWork(next);
        }
    }
}
