package org.heatherhaven.node.operator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import org.heatherhaven.core.logic.leases.LeaseState;
import org.heatherhaven.core.logic.node.NodeState;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.PolicyPatch;
import org.heatherhaven.node.http.PageHandler;
import org.heatherhaven.node.http.PageReply;
import org.heatherhaven.node.metrics.NodeMetrics;

/** Serves the operators' pages from the latest state, without using the control thread. */
public final class OperatorHandler implements PageHandler {

    private static final String METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final String EXPLAIN_PATH = "/explain/";

    private static final ObjectMapper JSON = new ObjectMapper()
            .registerModule(new Jdk8Module())
            .registerModule(new JavaTimeModule())
            .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);

    private final Supplier<NodeState> state;
    private final InstantSource clock;
    private final NodeMetrics metrics;
    private final DecisionLog decisions;
    private final PatchHandler patchHandler;
    private final Runnable drain;
    private final Optional<String> token;

    /**
     * Creates the handler.
     *
     * @param state supplies the latest state
     * @param clock source of the current time
     * @param metrics metrics of the node
     * @param decisions log of the latest decisions
     * @param patchHandler submits patches to the control thread
     * @param drain starts a planned stop
     * @param token token that operators must present, if any
     */
    public OperatorHandler(
            Supplier<NodeState> state,
            InstantSource clock,
            NodeMetrics metrics,
            DecisionLog decisions,
            PatchHandler patchHandler,
            Runnable drain,
            Optional<String> token) {
        this.state = state;
        this.clock = clock;
        this.metrics = metrics;
        this.decisions = decisions;
        this.patchHandler = patchHandler;
        this.drain = drain;
        this.token = token;
    }

    @Override
    public CompletableFuture<PageReply> handle(Request request) {
        if (!authorized(request.key())) {
            return completed(problemReply(401, "the operators' token is missing or wrong"));
        }
        return handle(request.method(), request.path(), request.body());
    }

    /** Compares the token in constant time. */
    private boolean authorized(Optional<String> presented) {
        return token.isEmpty()
                || MessageDigest.isEqual(
                        presented.orElse("").getBytes(StandardCharsets.UTF_8),
                        token.get().getBytes(StandardCharsets.UTF_8));
    }

    private CompletableFuture<PageReply> handle(String method, String path, byte[] body) {
        if (method.equals("POST") && path.equals("/policy/patches")) {
            return submitPatch(body);
        }
        if (method.equals("POST") && path.equals("/drain")) {
            drain.run();
            return completed(jsonReply(202, JSON.createObjectNode().put("draining", true)));
        }
        if (!method.equals("GET")) {
            return completed(problemReply(405, "only GET, POST /policy/patches and POST /drain"));
        }
        return completed(get(path));
    }

    private PageReply get(String path) {
        if (path.startsWith(EXPLAIN_PATH)) {
            return jsonReply(200, decisions.findBySubject(path.substring(EXPLAIN_PATH.length())));
        }
        return switch (path) {
            case "/status" -> jsonReply(200, status());
            case "/metrics" -> jsonReply(200, metrics.values());
            case "/metrics.txt" ->
                new PageReply(
                        200, METRICS_CONTENT_TYPE, metrics.toPrometheusText().getBytes(StandardCharsets.UTF_8));
            case "/policy" -> jsonReply(200, state.get().policy().policy().toSnapshot());
            case "/policy/history" -> jsonReply(200, state.get().policy().recentVersions());
            case "/members" -> jsonReply(200, state.get().fleet().members().values());
            default -> problemReply(404, "no such page");
        };
    }

    private ObjectNode status() {
        NodeState now = state.get();
        Member self = now.fleet().self();
        ObjectNode status = JSON.createObjectNode();
        status.put("node", self.id().value());
        status.put("epoch", self.epoch());
        status.put("status", self.status().name());
        status.put("zone", self.zone().toString());
        status.put("service", self.service());
        status.put("policy_version", now.policy().policy().version());
        status.put(
                "policy_confirmed_ago_ms",
                Duration.between(now.policy().confirmedAt(), clock.instant()).toMillis());
        status.put("watches_platform", now.watcherRole().watcher());
        status.put("calls_entered", now.entryCalls().byNumber().size());
        status.put("calls_running", now.admission().running().size());
        status.put("calls_queued", now.admission().queue().size());
        status.put("concurrency_limit", now.admission().limit());
        status.put(
                "members_in_service",
                now.fleet().members().values().stream()
                        .filter(member -> member.status().acceptsCalls())
                        .count());
        ArrayNode leases = status.putArray("rights");
        now.leases().leases().forEach((lease, held) -> leases.add(leaseStatus(now, lease, held)));
        return status;
    }

    private ObjectNode leaseStatus(NodeState now, LeaseId lease, LeaseState held) {
        ObjectNode node = JSON.createObjectNode();
        node.put("right", lease.toString());
        node.put("holder", held.grant().holder().node().value());
        node.put(
                "standby",
                held.grant().standby().map(owner -> owner.node().value()).orElse("none"));
        node.put("generation", held.grant().generation());
        node.put("usable_here", now.leases().usable(lease, clock.instant()));
        return node;
    }

    private CompletableFuture<PageReply> submitPatch(byte[] body) {
        PolicyPatch patch;
        try {
            patch = JSON.readValue(body, PolicyPatch.class);
        } catch (IOException e) {
            return completed(problemReply(400, "not a patch: " + e.getMessage()));
        }
        return patchHandler.submit(patch).thenApply(result -> {
            ObjectNode node = JSON.createObjectNode();
            node.put("patch", result.patchId());
            node.put("verdict", result.verdict().name().toLowerCase(Locale.ROOT));
            node.put("version", result.version());
            Optional<String> reason = result.reason();
            reason.ifPresent(text -> node.put("reason", text));
            return jsonReply(200, node);
        });
    }

    private static CompletableFuture<PageReply> completed(PageReply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    static PageReply problemReply(int status, String detail) {
        return jsonReply(status, JSON.createObjectNode().put("status", status).put("detail", detail));
    }

    private static PageReply jsonReply(int status, Object body) {
        try {
            return PageReply.json(status, JSON.writeValueAsBytes(body));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("can't write " + body.getClass(), e);
        }
    }
}
