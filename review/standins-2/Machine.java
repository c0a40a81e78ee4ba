import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A machine with the project's node process, started with the command and the template of the deploy file. */
final class Machine {

    static final String ZONE = "pk-south-a";

    private static final String REGION = "pk-south";
    private static final Path DEPLOY = Path.of("deploy", "system.toml");
    private static final Path TEMPLATE = Path.of("deploy", "settings.toml");
    private static final List<String> BOUNDS = List.of(
            "seed-lag-s=3",
            "reuse-after-s=2",
            "stability-window-ms=3000",
            "ack-timeout-ms=4000",
            "catch-up-s=4",
            "drain-timeout-ms=2000",
            "grace-period-s=6",
            "loss-slack-ms=200",
            "config-apply-ms=2000",
            "regression-slack-ms=250",
            "max-stretch-ms=5000",
            "strict-revocation=true",
            "revoke-ms=5000",
            "retry-budget-ratio=0.2",
            "budget-window-s=10",
            "budget-slack=47",
            "quota-window-s=5",
            "quota-overshoot=0.1",
            "quota-slack=20",
            "recovery-s=15");
    private static final List<Machine> ALL = new CopyOnWriteArrayList<>();
    private static final long START_MS = 20_000;

    final String name;
    final int callers;
    final int reports;
    final int app;
    final int readiness;
    final int peers;
    final int operators;
    private final Path settings;
    private final Path log;
    private Process process;
    private long startedAt;

    /** Prepares a machine whose backend is of the given service. */
    Machine(String name, String service, int storePort) throws IOException {
        List<Integer> ports = Kit.freePorts(6);
        this.name = name;
        this.callers = ports.get(0);
        this.reports = ports.get(1);
        this.app = ports.get(2);
        this.readiness = ports.get(3);
        this.peers = ports.get(4);
        this.operators = ports.get(5);
        this.settings = Files.createTempFile("node-", ".toml");
        this.log = Files.createTempFile("node-", ".log");
        settings.toFile().deleteOnExit();
        Files.writeString(settings, render(service, storePort));
        ALL.add(this);
    }

    private String render(String service, int storePort) throws IOException {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("region", REGION);
        values.put("zone", ZONE);
        values.put("ip", "127.0.0.1");
        values.put("service", service);
        values.put("listen-addresses.outbound", address(callers));
        values.put("listen-addresses.ready", address(readiness));
        values.put("listen-addresses.control", address(reports));
        values.put("internal-port-range.0", Integer.toString(peers));
        values.put("internal-port-range.1", Integer.toString(operators));
        values.put("limits.max-fds", "4100");
        values.put("app-address", address(app));
        values.put("platform.address", address(storePort));
        String bounds = String.join(", ", BOUNDS.stream().map(bound -> "\"" + bound + "\"").toList());
        String text = Files.readString(TEMPLATE)
                .replaceAll("\\{\\{#bounds\\}\\}.*\\{\\{/bounds\\}\\}", Matcher.quoteReplacement(bounds));
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "|json}}", "\"" + value.getValue() + "\"")
                    .replace("{{" + value.getKey() + "}}", value.getValue());
        }
        if (text.contains("{{")) {
            throw new IOException("the template has a placeholder that is not known here");
        }
        return text;
    }

    private static String address(int port) {
        return "127.0.0.1:" + port;
    }

    /** Starts the process with the command of the deploy file. */
    void start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(DEPLOY));
        if (!run.find()) {
            throw new IOException("the deploy file has no command");
        }
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(Arrays.asList(run.group(1).split(" "))));
        builder.environment().keySet().removeIf(key -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
        builder.environment().put("HEATHERHAVEN_SETTINGS", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        startedAt = Kit.now();
        Kit.note(name + ": started");
    }

    /** Returns when the process was started last. */
    long startedAt() {
        return startedAt;
    }

    void awaitReady() throws Exception {
        Kit.await(name + " is ready", START_MS, this::ready);
        Kit.note(name + ": ready");
    }

    boolean ready() {
        try {
            return Kit.call(readiness, "GET", Names.of("path.ready"), Map.of("Host", "node"), new byte[0], 1_000)
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until the process listens for heartbeats. */
    void awaitListening() throws Exception {
        Kit.await(name + " listens", START_MS, () -> {
            try (var socket = new Socket("127.0.0.1", reports)) {
                return socket.isConnected();
            } catch (IOException e) {
                return false;
            }
        });
    }

    /** Sends a signal by its name to the process. */
    void signal(String signal) throws Exception {
        Kit.note(name + ": SIG" + signal);
        new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
    }

    void kill() throws Exception {
        signal("KILL");
        process.waitFor();
    }

    boolean alive() {
        return process.isAlive();
    }

    /** Returns the text of the node's metrics page. */
    String metrics() throws IOException {
        return new String(
                Kit.call(operators, "GET", "/metrics.txt", Map.of("Host", "node"), new byte[0], 2_000).body());
    }

    static void killAll() {
        for (Machine machine : ALL) {
            if (machine.process != null) {
                machine.process.destroyForcibly();
            }
            try {
                String keep = System.getenv("KEEP_LOGS");
                if (keep != null) {
                    Files.copy(machine.log, Path.of(keep, machine.name + ".log"),
                            StandardCopyOption.REPLACE_EXISTING);
                }
                Files.deleteIfExists(machine.settings);
                Files.deleteIfExists(machine.log);
            } catch (IOException e) {
                Kit.note("a temporary file stays: " + e);
            }
        }
    }
}
