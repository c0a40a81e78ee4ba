package org.heatherhaven.cli;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Response;
import org.heatherhaven.standin.fleet.Ports;

/** Runs a fleet on loopback in separate processes: a stand-in platform, and targets with one node beside each. */
final class ProcessFleet implements AutoCloseable {

    static final String POLICY = """
            base = 0
            [[team]]
            name = "banquets"
            rate = 500.0
            burst = 200.0
            [[route]]
            name = "book"
            path = "/bookings"
            service = "bookings"
            importance = "critical"
            unrepeatable = true
            timeout_ms = 10000
            [[route]]
            name = "quote"
            path = "/pricing"
            service = "pricing"
            importance = "high"
            timeout_ms = 10000
            [[route]]
            name = "open"
            path = "/pricing/open"
            service = "pricing"
            open = true
            """;

    private static final Duration TIMEOUT = Duration.ofSeconds(40);
    private static final ObjectMapper JSON = new ObjectMapper();

    final AsyncHttpClient http = Dsl.asyncHttpClient(
            Dsl.config().setRequestTimeout(TIMEOUT).setReadTimeout(TIMEOUT).setMaxRequestRetry(0));
    final List<Node> nodes = new ArrayList<>();
    private final Path directory;
    private final List<Process> processes = new ArrayList<>();
    private final InetSocketAddress platform = Ports.findFree(1).get(0);

    /**
     * A node and its target.
     *
     * @param process process of the node
     * @param target process of the target
     * @param ports listen addresses: the node's for callers, nested calls, peers and operators, then the target's
     * @param log file with the output of the node
     */
    record Node(Process process, Process target, List<InetSocketAddress> ports, Path log) {

        String callerUrl() {
            return "http://127.0.0.1:" + ports.get(0).getPort();
        }

        String nestedCallUrl() {
            return "http://127.0.0.1:" + ports.get(1).getPort();
        }

        InetSocketAddress peerAddress() {
            return ports.get(2);
        }

        String operatorUrl() {
            return "http://127.0.0.1:" + ports.get(3).getPort();
        }

        String targetUrl() {
            return "http://127.0.0.1:" + ports.get(4).getPort();
        }
    }

    ProcessFleet() throws Exception {
        directory = Files.createTempDirectory("heatherhaven-test");
        startProcess("platform.log", "standin", "platform", "--listen", "127.0.0.1:" + platform.getPort());
        await(
                "platform",
                () -> get("http://127.0.0.1:" + platform.getPort() + "/objects").getStatusCode() == 200);
    }

    /** Starts a target and its node, and waits until the node answers its operators. */
    Node startNode(String service, String zone, int slots, int workMillis) throws Exception {
        List<InetSocketAddress> ports = Ports.findFree(5);
        int index = nodes.size();
        Process target = startProcess(
                "target-" + index + ".log",
                "standin",
                "target",
                "--listen",
                "127.0.0.1:" + ports.get(4).getPort(),
                "--service",
                service,
                "--slots",
                Integer.toString(slots),
                "--work-ms",
                Integer.toString(workMillis),
                "--node",
                "http://127.0.0.1:" + ports.get(1).getPort(),
                "--calls",
                "/bookings=/pricing/quote");
        Path settings = directory.resolve("node-" + index + ".toml");
        Files.writeString(settings, settingsText(service, zone, slots, ports));
        Process process =
                startProcess("node-" + index + ".log", "node", "--settings", settings.toString(), "--log", "json");
        Node node = new Node(process, target, ports, directory.resolve("node-" + index + ".log"));
        nodes.add(node);
        await("node " + index, () -> get(node.operatorUrl() + "/status").getStatusCode() == 200);
        return node;
    }

    private String settingsText(String service, String zone, int slots, List<InetSocketAddress> ports) {
        return """
                [place]
                region = "region"
                zone = "%s"
                [listen]
                callers = "127.0.0.1:%d"
                target_calls = "127.0.0.1:%d"
                peers = "127.0.0.1:%d"
                operators = "127.0.0.1:%d"
                [target]
                service = "%s"
                address = "127.0.0.1:%d"
                slots = %d
                connections = 100
                [platform]
                url = "http://127.0.0.1:%d"
                [fleet]
                secrets = ["a-secret-of-the-test-fleet"]
                [limits]
                body_bytes = 8000000
                """.formatted(
                        zone,
                        ports.get(0).getPort(),
                        ports.get(1).getPort(),
                        ports.get(2).getPort(),
                        ports.get(3).getPort(),
                        service,
                        ports.get(4).getPort(),
                        slots,
                        platform.getPort());
    }

    private Process startProcess(String log, String... command) throws IOException {
        List<String> line = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                "org.heatherhaven.cli.Main"));
        line.addAll(Arrays.asList(command));
        File output = directory.resolve(log).toFile();
        Process process = new ProcessBuilder(line)
                .redirectErrorStream(true)
                .redirectOutput(output)
                .start();
        processes.add(process);
        return process;
    }

    /**
     * Waits until every node lists all members as in service, then applies the policy and issues a key.
     *
     * <p>Returns once every node has the policy and a call with the key has succeeded.
     *
     * @return the API key of the team
     */
    String applyPolicyAndIssueKey() throws Exception {
        await("members", () -> {
            for (Node node : nodes) {
                if (nodeStatus(node).path("members_in_service").asInt() != nodes.size()) {
                    return false;
                }
            }
            return true;
        });
        Path patch = directory.resolve("first.toml");
        Files.writeString(patch, POLICY);
        expect(
                0,
                runCommand(
                                "policy",
                                "patch",
                                patch.toString(),
                                "--operator",
                                nodes.get(0).operatorUrl())
                        .exitCode());
        CommandResult issued = runCommand(
                "key", "issue", "--team", "banquets", "--operator", nodes.get(0).operatorUrl());
        expect(0, issued.exitCode());
        String key = issued.output()
                .lines()
                .filter(line -> line.startsWith("key "))
                .findFirst()
                .orElseThrow()
                .substring(3)
                .trim();
        awaitVersion(2);
        await(
                "first successful call with the key",
                () -> call(nodes.get(0), "GET", "/pricing/warm", key, null)
                                .get()
                                .getStatusCode()
                        == 200);
        return key;
    }

    /** Waits until every running node has at least this policy version. */
    void awaitVersion(long version) throws Exception {
        await("version " + version, () -> {
            for (Node node : nodes) {
                if (node.process().isAlive()
                        && nodeStatus(node).path("policy_version").asLong() < version) {
                    return false;
                }
            }
            return true;
        });
    }

    /**
     * Result of a command.
     *
     * @param exitCode exit code of its process
     * @param output standard output and standard error
     */
    record CommandResult(int exitCode, String output) {}

    CommandResult runCommand(String... words) throws Exception {
        String log = "command-" + processes.size() + ".log";
        Process process = startProcess(log, words);
        if (!process.waitFor(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
            throw new AssertionError("timed out: " + String.join(" ", words));
        }
        return new CommandResult(process.exitValue(), Files.readString(directory.resolve(log)));
    }

    JsonNode nodeStatus(Node node) throws Exception {
        return JSON.readTree(get(node.operatorUrl() + "/status").getResponseBody());
    }

    long metric(Node node, String name) throws Exception {
        return JSON.readTree(get(node.operatorUrl() + "/metrics").getResponseBody())
                .path(name)
                .asLong();
    }

    /** Reads the counters of the stand-in target beside a node. */
    JsonNode targetStatistics(Node node) throws Exception {
        return JSON.readTree(get(node.targetUrl() + "/standin").getResponseBody());
    }

    /** Sets the simulated faults of the platform, given as JSON. */
    void setPlatformFaults(String faults) throws Exception {
        http.preparePost("http://127.0.0.1:" + platform.getPort() + "/faults")
                .setBody(faults)
                .execute()
                .get();
    }

    Response get(String url) throws Exception {
        return http.prepareGet(url).execute().get();
    }

    CompletableFuture<Response> call(Node node, String method, String path, String key, String idempotencyKey) {
        BoundRequestBuilder request = http.prepare(method, node.callerUrl() + path);
        if (key != null) {
            request.addHeader("Authorization", "Bearer " + key);
        }
        if (idempotencyKey != null) {
            request.addHeader("Idempotency-Key", idempotencyKey);
        }
        return request.execute().toCompletableFuture();
    }

    /** Polls a condition until it holds; fails after {@link #TIMEOUT}. */
    static void await(String what, Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (true) {
            boolean holds;
            try {
                holds = condition.call();
            } catch (java.util.concurrent.ExecutionException e) {
                holds = false;
            }
            if (holds) {
                return;
            }
            if (System.nanoTime() > end) {
                throw new AssertionError("timed out waiting for: " + what);
            }
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    static void sendSignal(Process process, String name) throws Exception {
        int code = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
        expect(0, code);
    }

    static void expect(Object expected, Object actual) {
        if (!expected.equals(actual)) {
            throw new AssertionError("expected " + expected + ", got " + actual);
        }
    }

    String nodeLogs() throws IOException {
        StringBuilder all = new StringBuilder();
        for (Node node : nodes) {
            all.append(Files.readString(node.log(), StandardCharsets.UTF_8));
        }
        return all.toString();
    }

    @Override
    public void close() throws Exception {
        processes.forEach(Process::destroyForcibly);
        http.close();
    }
}
