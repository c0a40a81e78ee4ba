package org.heatherhaven.standin.fleet;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;
import java.util.stream.Collectors;

import net.jqwik.api.Example;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Response;
import org.heatherhaven.standin.http.AnswerFault;
import org.heatherhaven.standin.measure.Strategy;
import org.heatherhaven.standin.target.TargetFaults;
import org.heatherhaven.standin.target.TargetServer;

/** Guards that each caller gets its own whole answer or a failure, whatever targets send beside or instead of it. */
class StutteringTargetsTest {

    private static final long SEED = 20_261_204;
    private static final double FRACTION_OF_EACH_FAULT = 0.02;
    /** Multiple of the fleet's capacity that the teams' rates allow, so that no call is refused for its rate. */
    private static final double RATE_FACTOR = 100;

    private static final int CALLERS = 40;
    private static final int REQUESTS_OF_EACH_CALLER = 100;
    private static final int MAX_BODY_BYTES = 3_000;
    private static final int MAX_ANSWER_BYTES = 5_000;
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(10);
    private static final String CONTENT_TYPE = "text/plain; charset=utf-8";
    private static final String REFUSAL_TYPE = "application/problem+json";
    private static final int OK = 200;
    private static final int FIRST_FAILURE = 400;
    private static final int FAILED = 500;

    private final Map<String, Integer> results = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> wrongAnswers = new ConcurrentLinkedQueue<>();

    /** One request, the text of its right answer, and the begin of the text of its failure by the target. */
    private record Sent(String id, BoundRequestBuilder request, String expected, String failure) {}

    @Example
    void eachCallerGetsItsOwnWholeAnswerOrAFailure() throws Exception {
        try (EmbeddedFleet fleet = new EmbeddedFleet(Deployment.QALEEN, Strategy.HEATHERHAVEN.rules(SEED), SEED);
                AsyncHttpClient client = Dsl.asyncHttpClient(Dsl.config().setMaxRequestRetry(0))) {
            fleet.applyPatch(FleetPolicy.initialPatch(Deployment.QALEEN, RATE_FACTOR));
            fleet.setTargetFaults(new TargetFaults(Arrays.stream(AnswerFault.values())
                    .collect(Collectors.toMap(Function.identity(), fault -> FRACTION_OF_EACH_FAULT))));
            List<CompletableFuture<Void>> callers = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                callers.add(call(fleet, client, caller, new SplittableRandom(SEED + caller), 0));
            }
            callers.forEach(CompletableFuture::join);
            if (fleet.wrongNestedAnswers() > 0) {
                wrongAnswers.add(fleet.wrongNestedAnswers() + " nested calls got wrong answers");
            }
        }
        int answered = results.getOrDefault("200", 0);
        if (!wrongAnswers.isEmpty() || answered < CALLERS * REQUESTS_OF_EACH_CALLER / 2) {
            throw new AssertionError(wrongAnswers.size() + " wrong answers, results " + new TreeMap<>(results) + "\n"
                    + String.join("\n", wrongAnswers));
        }
    }

    /** Sends a caller's requests from a number on, one after another. */
    private CompletableFuture<Void> call(
            EmbeddedFleet fleet, AsyncHttpClient client, int caller, SplittableRandom random, int number) {
        if (number == REQUESTS_OF_EACH_CALLER) {
            return CompletableFuture.completedFuture(null);
        }
        Sent sent = request(fleet, client, "c" + caller + "n" + number, random);
        return sent.request()
                .execute()
                .toCompletableFuture()
                .handle((response, failure) -> {
                    record(sent, response, failure);
                    return null;
                })
                .thenComposeAsync(done -> call(fleet, client, caller, random, number + 1));
    }

    private static Sent request(EmbeddedFleet fleet, AsyncHttpClient client, String id, SplittableRandom random) {
        Flow flow = Deployment.QALEEN
                .flows()
                .get(random.nextInt(Deployment.QALEEN.flows().size()));
        byte[] body = new byte[random.nextInt(MAX_BODY_BYTES)];
        random.nextBytes(body);
        int size = random.nextInt(MAX_ANSWER_BYTES);
        BoundRequestBuilder request = client.preparePost(
                        fleet.callerUrl(random.nextInt(fleet.size())) + flow.path() + "?id=" + id + "&size=" + size)
                .addHeader("Authorization", "Bearer " + FleetPolicy.teamKey(0))
                .addHeader("Request-Timeout-Ms", CALLER_TIMEOUT.toMillis())
                .setRequestTimeout(CALLER_TIMEOUT)
                .setReadTimeout(CALLER_TIMEOUT)
                .setBody(body);
        if (flow.unrepeatable()) {
            request.addHeader("Idempotency-Key", id);
        }
        return new Sent(
                id, request, expectedAnswer(flow.service(), id, body, size), flow.service() + ":" + id + ":failed: ");
    }

    private static String expectedAnswer(String service, String id, byte[] body, int size) {
        StringBuilder answer =
                new StringBuilder(service + ":" + id + ":" + body.length + "-" + TargetServer.checksum(body));
        answer.append(":").append(size).append(":");
        for (int i = 0; i < size; i++) {
            answer.append((char) ('a' + i % 26));
        }
        return answer.toString();
    }

    private void record(Sent sent, Response response, Throwable failure) {
        String result = failure == null
                ? Integer.toString(response.getStatusCode())
                : failure.getClass().getSimpleName();
        results.merge(result, 1, Integer::sum);
        if (failure == null && !isRight(sent, response)) {
            String body = body(response);
            wrongAnswers.add("request " + sent.id() + " got " + response.getStatusCode() + " of type "
                    + response.getContentType() + " with " + body.length() + " characters: " + head(body)
                    + ", expected " + sent.expected().length() + ": " + head(sent.expected()));
        }
    }

    /** Returns true for the request's own whole answer, its own failure by the target, and a refusal by a node. */
    private static boolean isRight(Sent sent, Response response) {
        if (response.getStatusCode() != OK && REFUSAL_TYPE.equals(response.getContentType())) {
            return response.getStatusCode() >= FIRST_FAILURE;
        }
        String body = body(response);
        boolean own = response.getStatusCode() == OK
                ? body.equals(sent.expected())
                : response.getStatusCode() == FAILED && body.startsWith(sent.failure());
        return own && CONTENT_TYPE.equals(response.getContentType());
    }

    private static String body(Response response) {
        return new String(response.getResponseBodyAsBytes(), StandardCharsets.ISO_8859_1);
    }

    private static String head(String text) {
        return text.substring(0, Math.min(text.length(), 60));
    }
}
