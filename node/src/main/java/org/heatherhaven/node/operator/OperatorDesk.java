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
import org.heatherhaven.core.logic.node.NodeState;
import org.heatherhaven.core.logic.rights.RightState;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.PolicyPatch;
import org.heatherhaven.node.http.Pages;
import org.heatherhaven.node.http.Reply;
import org.heatherhaven.node.metrics.NodeMetrics;

/** Answers operators' questions from the latest state, without the control thread. */
public final class OperatorDesk implements Pages {

    private static final String TEXT = "text/plain; version=0.0.4; charset=utf-8";
    private static final String EXPLAIN = "/explain/";

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
    private final PatchDesk patches;
    private final Runnable drain;
    private final Optional<String> token;

    /**
     * Creates the desk.
     *
     * @param state reads the latest state
     * @param clock source of time
     * @param metrics what the node counts
     * @param decisions the latest decisions
     * @param patches takes patches
     * @param drain starts a planned stop
     * @param token what operators must present, if anything
     */
    public OperatorDesk(
            Supplier<NodeState> state,
            InstantSource clock,
            NodeMetrics metrics,
            DecisionLog decisions,
            PatchDesk patches,
            Runnable drain,
            Optional<String> token) {
        this.state = state;
        this.clock = clock;
        this.metrics = metrics;
        this.decisions = decisions;
        this.patches = patches;
        this.drain = drain;
        this.token = token;
    }

    @Override
    public CompletableFuture<Reply> handle(Request request) {
        if (!admitted(request.key())) {
            return done(problem(401, "the operators' token is missing or wrong"));
        }
        return handle(request.method(), request.path(), request.body());
    }

    private boolean admitted(Optional<String> presented) {
        return token.isEmpty()
                || MessageDigest.isEqual(
                        presented.orElse("").getBytes(StandardCharsets.UTF_8),
                        token.get().getBytes(StandardCharsets.UTF_8));
    }

    private CompletableFuture<Reply> handle(String method, String path, byte[] body) {
        if (method.equals("POST") && path.equals("/policy/patches")) {
            return patch(body);
        }
        if (method.equals("POST") && path.equals("/drain")) {
            drain.run();
            return done(reply(202, JSON.createObjectNode().put("draining", true)));
        }
        if (!method.equals("GET")) {
            return done(problem(405, "only GET, POST /policy/patches and POST /drain"));
        }
        return done(get(path));
    }

    private Reply get(String path) {
        if (path.startsWith(EXPLAIN)) {
            return reply(200, decisions.about(path.substring(EXPLAIN.length())));
        }
        return switch (path) {
            case "/status" -> reply(200, status());
            case "/metrics" -> reply(200, metrics.values());
            case "/metrics.txt" -> new Reply(200, TEXT, metrics.text().getBytes(StandardCharsets.UTF_8));
            case "/policy" -> reply(200, state.get().policy().policy().toSnapshot());
            case "/policy/history" -> reply(200, state.get().policy().recent());
            case "/members" -> reply(200, state.get().fleet().members().values());
            default -> problem(404, "no such page");
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
        status.put("watches_platform", now.duties().watcher());
        status.put("calls_entered", now.calls().calls().size());
        status.put("calls_running", now.guard().running().size());
        status.put("calls_queued", now.guard().queue().size());
        status.put("concurrency_limit", now.guard().limit());
        status.put(
                "members_in_service",
                now.fleet().members().values().stream()
                        .filter(member -> member.status().acceptsCalls())
                        .count());
        ArrayNode rights = status.putArray("rights");
        now.rights().rights().forEach((right, held) -> rights.add(right(now, right, held)));
        return status;
    }

    private ObjectNode right(NodeState now, LeaseId right, RightState held) {
        ObjectNode node = JSON.createObjectNode();
        node.put("right", right.toString());
        node.put("holder", held.grant().holder().node().value());
        node.put(
                "standby",
                held.grant().standby().map(owner -> owner.node().value()).orElse("none"));
        node.put("generation", held.grant().generation());
        node.put("usable_here", now.rights().usable(right, clock.instant()));
        return node;
    }

    private CompletableFuture<Reply> patch(byte[] body) {
        PolicyPatch patch;
        try {
            patch = JSON.readValue(body, PolicyPatch.class);
        } catch (IOException e) {
            return done(problem(400, "not a patch: " + e.getMessage()));
        }
        return patches.submit(patch).thenApply(answer -> {
            ObjectNode node = JSON.createObjectNode();
            node.put("patch", answer.patchId());
            node.put("verdict", answer.verdict().name().toLowerCase(Locale.ROOT));
            node.put("version", answer.version());
            Optional<String> reason = answer.reason();
            reason.ifPresent(text -> node.put("reason", text));
            return reply(200, node);
        });
    }

    private static CompletableFuture<Reply> done(Reply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    static Reply problem(int status, String detail) {
        return reply(status, JSON.createObjectNode().put("status", status).put("detail", detail));
    }

    private static Reply reply(int status, Object body) {
        try {
            return Reply.json(status, JSON.writeValueAsBytes(body));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("can't write " + body.getClass(), e);
        }
    }
}
