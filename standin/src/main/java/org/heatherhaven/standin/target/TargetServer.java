package org.heatherhaven.standin.target;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.UUID;
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
import org.heatherhaven.standin.http.AnswerFault;
import org.heatherhaven.standin.http.StandinServer;
import org.heatherhaven.standin.http.StandinServer.Reply;
import org.heatherhaven.standin.http.StandinServer.Request;

/**
 * A stand-in target that works on a limited number of calls at a time and makes nested calls through its node.
 *
 * <p>A response has the text {@code SERVICE:ID:LENGTH-CHECKSUM:SIZE:}, with the length and the checksum of the request
 * body, followed by as many filler bytes as the query parameter {@code size} requests; that of a failed request has the
 * text {@code SERVICE:ID:failed:} and the reason. Callers use it to check that a
 * response is complete and belongs to their request. Each response returns the context id of its request. {@code GET
 * /standin} returns the counters as JSON; {@code POST /standin} sets the slowness and whether requests are refused;
 * {@code POST /faults} sets the faults of answers, a JSON object of fractions by {@link AnswerFault#label}.
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
    /** Begin of the ids of this target's nested calls. */
    private final String instance = UUID.randomUUID().toString();

    private final AtomicLong nestedCalls = new AtomicLong();
    private final AtomicLong wrongNestedAnswers = new AtomicLong();
    private final SplittableRandom random;
    private int busySlots;
    private final SplittableRandom faultRandom;
    private volatile TargetFaults faults = TargetFaults.NONE;
    private volatile double slowness = 1;
    private volatile boolean refusing;

    private record Job(Request request, CompletableFuture<Reply> reply) {}

    /**
     * Creates a target that does not listen yet.
     *
     * @param behavior configured behavior
     * @param nodeUrl base URL at which its node accepts nested calls
     * @param group threads of the connections and of the simulated work
     * @param seed seed of the random work times and of the random choice of faulty answers
     */
    public TargetServer(TargetBehavior behavior, String nodeUrl, EventLoopGroup group, long seed) {
        this.behavior = behavior;
        this.nodeUrl = nodeUrl;
        this.group = group;
        this.random = new SplittableRandom(seed);
        this.faultRandom = new SplittableRandom(~seed);
        this.client = Dsl.asyncHttpClient(new DefaultAsyncHttpClientConfig.Builder()
                .setEventLoopGroup(group)
                .setMaxRequestRetry(0)
                .setRequestTimeout(NESTED_CALL_TIMEOUT)
                .build());
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
     * Sets the factor that the work time of calls that start later is multiplied by.
     *
     * @param factor 1 for the configured work time, 10 for ten times as long
     */
    public void setSlowness(double factor) {
        slowness = factor;
    }

    /**
     * Makes the target answer all requests with status 503, or accept them again.
     *
     * @param refuse true to refuse
     */
    public void setRefusing(boolean refuse) {
        refusing = refuse;
    }

    /**
     * Sets the simulated faults of the answers.
     *
     * @param newFaults faults of later answers
     */
    public void setFaults(TargetFaults newFaults) {
        faults = newFaults;
    }

    /**
     * Returns the executions so far by idempotency key.
     *
     * @return number of executions of each key; updated by later executions
     */
    public Map<String, AtomicLong> runsByKey() {
        return runsByKey;
    }

    /**
     * Returns the number of executions so far.
     *
     * @return number of executions
     */
    public long runs() {
        return runs.get();
    }

    /**
     * Returns the number of requests that carried the API key of a caller, which nodes must not forward.
     *
     * @return number of requests; must be 0
     */
    public long requestsWithCallerKey() {
        return requestsWithCallerKey.get();
    }

    /**
     * Returns the number of nested calls that succeeded with the answer to another call, or with a part of one.
     *
     * @return number of nested calls; must be 0
     */
    public long wrongNestedAnswers() {
        return wrongNestedAnswers.get();
    }

    /** Stops the target at once and closes its connections. */
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
        if (request.path().equals("/faults")) {
            return CompletableFuture.completedFuture(changeFaults(request));
        }
        if (request.headers().containsKey("authorization")) {
            requestsWithCallerKey.incrementAndGet();
        }
        return answer(request).thenApply(reply -> withContextAndFault(request, reply));
    }

    private Reply changeFaults(Request request) {
        try {
            Map<AnswerFault, Double> fractions = new EnumMap<>(AnswerFault.class);
            JSON.readTree(request.body())
                    .fields()
                    .forEachRemaining(field -> fractions.put(
                            AnswerFault.of(field.getKey()), field.getValue().asDouble()));
            setFaults(new TargetFaults(fractions));
            return Reply.of(204, new byte[0]);
        } catch (IOException | IllegalArgumentException e) {
            return Reply.of(400, new byte[0]);
        }
    }

    /** Returns a reply with the context id of its request, and with a fault if one is chosen. */
    private Reply withContextAndFault(Request request, Reply reply) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", "text/plain; charset=utf-8");
        Optional.ofNullable(request.headers().get(CONTEXT_HEADER))
                .ifPresent(context -> headers.put(CONTEXT_HEADER, context));
        return new Reply(reply.status(), headers, reply.body(), chooseFault());
    }

    private synchronized Optional<AnswerFault.Choice> chooseFault() {
        return faults.choose(faultRandom);
    }

    private CompletableFuture<Reply> answer(Request request) {
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

    /** Handles a request for the counters or a change of the behavior. */
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
            runsByKey.computeIfAbsent(key, absentKey -> new AtomicLong()).incrementAndGet();
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

    /** Makes the nested calls from an index on, one after another, and fails the job at the first failed one. */
    private void makeNestedCalls(Job job, List<String> paths, int index) {
        if (index == paths.size()) {
            finishJob(job, Reply.of(200, responseBody(job.request())));
            return;
        }
        String id = instance + "-" + nestedCalls.incrementAndGet();
        BoundRequestBuilder nested = client.prepareGet(nodeUrl + paths.get(index) + "?id=" + id);
        nested.addHeader(CONTEXT_HEADER, job.request().headers().getOrDefault(CONTEXT_HEADER, "none"));
        nested.execute().toCompletableFuture().whenComplete((response, failure) -> {
            if (failure != null || response.getStatusCode() != 200) {
                finishJob(job, Reply.of(500, failureBody(job.request(), failureText(response, failure))));
            } else if (!response.getResponseBody().endsWith(":" + id + ":0-0:0:")) {
                wrongNestedAnswers.incrementAndGet();
                finishJob(job, Reply.of(500, failureBody(job.request(), "nested call: wrong answer")));
            } else {
                makeNestedCalls(job, paths, index + 1);
            }
        });
    }

    /** Returns the body of a failure, which names its request as that of a success does. */
    private byte[] failureBody(Request request, String text) {
        return (behavior.service() + ":" + request.query().getOrDefault("id", "") + ":failed: " + text)
                .getBytes(StandardCharsets.UTF_8);
    }

    private static String failureText(Response response, Throwable failure) {
        return failure == null
                ? "nested call: " + response.getStatusCode() + " " + response.getResponseBody()
                : failure.toString();
    }

    /**
     * Returns the checksum of a body as it appears in responses.
     *
     * @param body body of the request
     * @return CRC-32 in hexadecimal
     */
    public static String checksum(byte[] body) {
        CRC32 crc = new CRC32();
        crc.update(body);
        return Long.toHexString(crc.getValue());
    }

    private byte[] responseBody(Request request) {
        int size = Integer.parseInt(request.query().getOrDefault("size", "0"));
        String prefix = behavior.service() + ":" + request.query().getOrDefault("id", "") + ":" + request.body().length
                + "-" + checksum(request.body()) + ":" + size + ":";
        byte[] bytes = Arrays.copyOf(prefix.getBytes(StandardCharsets.UTF_8), prefix.length() + size);
        for (int i = prefix.length(); i < bytes.length; i++) {
            bytes[i] = (byte) ('a' + (i - prefix.length()) % 26);
        }
        return bytes;
    }

    /** Completes a job and gives its slot to the next queued job. */
    private void finishJob(Job job, Reply reply) {
        job.reply().complete(reply);
        Job next = null;
        synchronized (this) {
            while (!queuedJobs.isEmpty()) {
                Job candidate = queuedJobs.poll();
                // A job whose connection was closed while it was queued is dropped.
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
