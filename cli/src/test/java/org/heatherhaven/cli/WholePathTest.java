package org.heatherhaven.cli;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.asynchttpclient.Response;
import org.heatherhaven.cli.ProcessFleet.CommandResult;
import org.heatherhaven.cli.ProcessFleet.Node;
import org.heatherhaven.standin.target.TargetServer;

import static org.heatherhaven.cli.ProcessFleet.await;
import static org.heatherhaven.cli.ProcessFleet.expect;

/** Tests a fleet of separate processes from outside: calls, operator commands, malformed input and failures. */
class WholePathTest {

    private static ProcessFleet fleet;
    private static Node bookings;
    private static Node pricing;
    private static String key;

    @BeforeContainer
    static void start() throws Exception {
        fleet = new ProcessFleet();
        bookings = fleet.startNode("bookings", "a", 20, 5);
        pricing = fleet.startNode("pricing", "b", 20, 5);
        fleet.startNode("pricing", "c", 20, 5);
        key = fleet.applyPolicyAndIssueKey();
    }

    @AfterContainer
    static void stop() throws Exception {
        fleet.close();
    }

    @Example
    void aRequestWithANestedCallThroughAnotherServicesNodeGetsACompleteResponse() throws Exception {
        byte[] body = new byte[1_500_000];
        new SplittableRandom(1).nextBytes(body);
        for (int i = 0; i < 10; i++) {
            requireCompleteResponse(body);
        }
        for (Node node : fleet.nodes) {
            expect(0L, fleet.targetStatistics(node).path("keys_seen").asLong());
        }
        expect(false, fleet.nodeLogs().contains(key));
    }

    private static void requireCompleteResponse(byte[] body) throws Exception {
        Response response = fleet.http
                .preparePost(pricing.callerUrl() + "/bookings/new?id=77&size=2000000")
                .addHeader("Authorization", "Bearer " + key)
                .setBody(body)
                .execute()
                .get();
        requireSuccess(response);
        String expectedPrefix = "bookings:77:1500000-" + TargetServer.checksum(body) + ":2000000:";
        expect(true, response.getResponseBody().startsWith(expectedPrefix));
        expect(expectedPrefix.length() + 2_000_000, response.getResponseBodyAsBytes().length);
        expect(true, Long.parseLong(response.getHeader("Heatherhaven-Policy-Version")) >= 2);
        expect("run", response.getHeader("Heatherhaven-Outcome"));
    }

    private static void requireSuccess(Response response) {
        if (response.getStatusCode() != 200) {
            throw new AssertionError(response.getStatusCode() + " " + response.getResponseBody());
        }
    }

    @Example
    void anUnrepeatableRequestSentAgainThroughAnotherNodeDoesNotRunTwice() throws Exception {
        requireSuccess(
                fleet.call(bookings, "POST", "/bookings/x?id=1", key, "once").get());
        Response repeated =
                fleet.call(pricing, "POST", "/bookings/x?id=1", key, "once").get();
        expect(409, repeated.getStatusCode());
        expect("run", repeated.getHeader("Heatherhaven-Outcome"));
        JsonNode runs = fleet.targetStatistics(bookings).path("runs_by_key").path("once");
        expect(1, runs.asInt());
    }

    @Example
    void aDecisionCanBeExplainedByItsRequestId() throws Exception {
        Response response = fleet.call(bookings, "GET", "/pricing/x", key, null).get();
        String id = response.getHeader("Heatherhaven-Request-Id");
        await(
                "recorded decision",
                () -> fleet.runCommand("explain", id, "--operator", bookings.operatorUrl())
                                .exitCode()
                        == 0);
        CommandResult explained = fleet.runCommand("explain", id, "--operator", bookings.operatorUrl());
        expect(
                true,
                explained.output().contains("policy version")
                        && explained.output().contains("-> run"));
    }

    @Example
    void aRefusalAtEntryHasAReasonAnOutcomeAndACounter() throws Exception {
        requireRefusal("/nowhere", key, 404, "no-route");
        requireRefusal("/pricing/x", null, 401, "key-missing");
        requireRefusal("/pricing/x", "wrong", 403, "key-unknown");
    }

    private static void requireRefusal(String path, String apiKey, int status, String reason) throws Exception {
        long before = fleet.metric(bookings, "refusals.entry." + reason);
        Response response = fleet.call(bookings, "GET", path, apiKey, null).get();
        expect(status, response.getStatusCode());
        expect("application/problem+json", response.getContentType());
        expect(true, response.getResponseBody().contains("\"reason\":\"" + reason + "\""));
        expect("not-run", response.getHeader("Heatherhaven-Outcome"));
        expect(before + 1, fleet.metric(bookings, "refusals.entry." + reason));
    }

    @Example
    void aForgedContextIsRefusedAtTheListenerForNestedCalls() throws Exception {
        Response response = fleet.http
                .prepareGet(bookings.nestedCallUrl() + "/pricing/x")
                .addHeader("Heatherhaven-Context", "1-1-forged")
                .execute()
                .get();
        expect(403, response.getStatusCode());
        expect(true, response.getResponseBody().contains("context-ended"));
    }

    @Example
    void malformedRequestsAreRejectedAndLaterCallsSucceed() throws Exception {
        expect(true, sendRaw(bookings, "nonsense\r\n\r\n").startsWith("HTTP/1.1 400"));
        expect(
                true,
                sendRaw(bookings, "GET /x HTTP/1.1\r\nA: " + "a".repeat(40_000) + "\r\n\r\n")
                        .startsWith("HTTP/1.1 413"));
        expect(
                true,
                sendRaw(bookings, "POST /pricing/x HTTP/1.1\r\nHost: x\r\nContent-Length: 9000000\r\n\r\n")
                        .startsWith("HTTP/1.1 413"));
        expect(
                true,
                sendRaw(bookings, "GET /x HTTP/1.1\r\nHost: x\r\nRequest-Timeout-Ms: soon\r\n\r\n")
                        .startsWith("HTTP/1.1 400"));
        requireSuccess(fleet.call(bookings, "GET", "/pricing/open", null, null).get());
    }

    private static String sendRaw(Node node, String text) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", node.ports().get(0).getPort())) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @Example
    void anInvalidConnectionToThePeerPortIsClosedAndCounted() throws Exception {
        long before = fleet.metric(pricing, "peers.turned-away");
        InetSocketAddress peers = pricing.peerAddress();
        try (Socket socket = new Socket(peers.getHostString(), peers.getPort())) {
            socket.setSoTimeout(20_000);
            OutputStream out = socket.getOutputStream();
            out.write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            expect(-1, in.read());
        }
        await("counter", () -> fleet.metric(pricing, "peers.turned-away") > before);
        requireSuccess(fleet.call(bookings, "GET", "/pricing/open", null, null).get());
    }

    @Example
    void invalidSettingsEndTheNodeWithOneErrorLine() throws Exception {
        Path file = Files.createTempFile("bad", ".toml");
        Files.writeString(file, "[place]\nregion = 5\n");
        CommandResult ended = fleet.runCommand("node", "--settings", file.toString());
        expect(2, ended.exitCode());
        expect(1L, ended.output().lines().count());
        expect(true, ended.output().contains(":2: place.region can't be used; expected a text"));
    }

    @Example
    void aWithdrawnKeyIsRefusedOnAConnectionThatIsStillOpen() throws Exception {
        CommandResult issued =
                fleet.runCommand("key", "issue", "--team", "banquets", "--operator", pricing.operatorUrl());
        List<String> words = new ArrayList<>(List.of(issued.output().split("\\s+")));
        String issuedKey = words.get(words.indexOf("key") + 1);
        String hash = words.get(words.indexOf("hash") + 1);
        await(
                "key in force",
                () -> fleet.call(bookings, "GET", "/pricing/x", issuedKey, null)
                                .get()
                                .getStatusCode()
                        == 200);
        expect(
                0,
                fleet.runCommand("key", "withdraw", "--hash", hash, "--operator", pricing.operatorUrl())
                        .exitCode());
        await(
                "refusal",
                () -> fleet.call(bookings, "GET", "/pricing/x", issuedKey, null)
                                .get()
                                .getStatusCode()
                        == 403);
    }

    @Example
    void callsSucceedDuringAnOutageOfThePlatform() throws Exception {
        fleet.setPlatformFaults("{\"down\":true}");
        try {
            for (int i = 0; i < 20; i++) {
                requireSuccess(
                        fleet.call(bookings, "GET", "/pricing/x", key, null).get());
                TimeUnit.MILLISECONDS.sleep(100);
            }
            CommandResult keyIssue =
                    fleet.runCommand("key", "issue", "--team", "banquets", "--operator", bookings.operatorUrl());
            expect(3, keyIssue.exitCode());
        } finally {
            fleet.setPlatformFaults("{\"down\":false}");
        }
        await(
                "version in force",
                () -> fleet.runCommand("key", "issue", "--team", "banquets", "--operator", bookings.operatorUrl())
                                .exitCode()
                        == 0);
    }

    @Example
    void aPlannedStopCutsNothingAndAKilledNodeIsGoneAround() throws Exception {
        Node draining = fleet.startNode("pricing", "a", 20, 1_200);
        await(
                "new member",
                () -> fleet.nodeStatus(bookings).path("members_in_service").asInt() == 4);
        List<CompletableFuture<Response>> responses = new ArrayList<>();
        await("calls running at the draining target", () -> {
            responses.add(fleet.call(bookings, "GET", "/pricing/open", null, null));
            return fleet.targetStatistics(draining).path("runs").asLong() > 3;
        });
        ProcessFleet.sendSignal(draining.process(), "TERM");
        for (CompletableFuture<Response> response : responses) {
            requireSuccess(response.get());
        }
        expect(true, draining.process().waitFor(40, TimeUnit.SECONDS));
        expect(0, draining.process().exitValue());
        Node killed = fleet.startNode("pricing", "a", 20, 5);
        await(
                "new member",
                () -> fleet.nodeStatus(bookings).path("members_in_service").asInt() >= 4);
        ProcessFleet.sendSignal(killed.process(), "KILL");
        for (int i = 0; i < 50; i++) {
            requireSuccess(fleet.call(bookings, "GET", "/pricing/x", key, null).get());
        }
        for (Node node : fleet.nodes.subList(0, 3)) {
            // The next test must start after every node has removed the killed member.
            await(
                    "removal of the killed member",
                    () -> fleet.nodeStatus(node).path("members_in_service").asInt() == 3);
        }
    }
}
