package review3;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A machine: its addresses and settings, and the node's process, started with the command of the deploy file. */
final class Machine {

    private static final Path DEPLOY_FILE = Path.of("deploy/system.toml");
    private static final Path TEMPLATE = Path.of("deploy/settings.toml");
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z0-9.-]+)(\\|json)?}}");
    private static final Pattern BOUNDS = Pattern.compile("\\{\\{#bounds}}(.*?)\\{\\{/bounds}}", Pattern.DOTALL);

    /** Bounds of the first deployment of the users' pages. */
    private static final Map<String, String> BOUND_VALUES = bounds();

    private final Record record;
    private final Path folder;
    private final String name;
    private final String zone;
    private final Map<String, String> fields = new LinkedHashMap<>();
    private Process process;

    Machine(Record record, Path folder, String name, String zone, String ip, String service, String storeAddress)
            throws IOException {
        this.record = record;
        this.folder = folder;
        this.name = name;
        this.zone = zone;
        List<Integer> ports = freePorts(ip, 6);
        fields.put("region", "region-1");
        fields.put("zone", zone);
        fields.put("ip", ip);
        fields.put("listen-addresses.outbound", ip + ":" + ports.get(0));
        fields.put("listen-addresses.ready", ip + ":" + ports.get(1));
        fields.put("listen-addresses.control", ip + ":" + ports.get(2));
        fields.put("app-address", ip + ":" + ports.get(3));
        fields.put("internal-port-range.0", Integer.toString(ports.get(4)));
        fields.put("internal-port-range.1", Integer.toString(ports.get(5)));
        fields.put("limits.max-fds", "4100");
        fields.put("service", service);
        fields.put("platform.address", storeAddress);
    }

    private static Map<String, String> bounds() {
        Map<String, String> values = new LinkedHashMap<>();
        String text = "seed-lag-s=3,reuse-after-s=2,stability-window-ms=3000,ack-timeout-ms=4000,catch-up-s=4,"
                + "drain-timeout-ms=2000,grace-period-s=6,loss-slack-ms=200,config-apply-ms=2000,"
                + "regression-slack-ms=250,max-stretch-ms=5000,strict-revocation=true,revoke-ms=5000,"
                + "retry-budget-ratio=0.2,budget-window-s=10,budget-slack=47,quota-window-s=5,quota-overshoot=0.1,"
                + "quota-slack=20,recovery-s=15";
        for (String pair : text.split(",")) {
            String[] parts = pair.split("=");
            values.put(parts[0], parts[1]);
        }
        return values;
    }

    private static List<Integer> freePorts(String ip, int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip));
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    String name() {
        return name;
    }

    String zone() {
        return zone;
    }

    String clientAddress() {
        return fields.get("listen-addresses.outbound");
    }

    String reportAddress() {
        return fields.get("listen-addresses.control");
    }

    String backendAddress() {
        return fields.get("app-address");
    }

    /** Changes the service that the settings name; the file is written at the next start. */
    void changeService(String service) {
        fields.put("service", service);
    }

    private Path writeSettings() throws IOException {
        String text = Files.readString(TEMPLATE);
        Matcher section = BOUNDS.matcher(text);
        if (section.find()) {
            StringBuilder entries = new StringBuilder();
            BOUND_VALUES.forEach((key, value) -> entries.append(section.group(1)
                    .replace("{{@}}", key)
                    .replace("{{.}}", value)
                    .replace("{{,}}", ",")));
            entries.setLength(entries.length() - 1);
            text = text.substring(0, section.start()) + entries + text.substring(section.end());
        }
        Matcher placeholder = PLACEHOLDER.matcher(text);
        StringBuilder filled = new StringBuilder();
        while (placeholder.find()) {
            String value = fields.get(placeholder.group(1));
            if (value == null) {
                throw new IOException("no value for the field " + placeholder.group(1));
            }
            String written = placeholder.group(2) == null ? value : "\"" + value + "\"";
            placeholder.appendReplacement(filled, Matcher.quoteReplacement(written));
        }
        placeholder.appendTail(filled);
        return Files.writeString(folder.resolve(name + ".conf"), filled);
    }

    void start() throws IOException {
        Matcher run = RUN.matcher(Files.readString(DEPLOY_FILE));
        if (!run.find()) {
            throw new IOException("the deploy file has no command");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("HEATHERHAVEN_SETTINGS", writeSettings().toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        process = builder.start();
        record.add("node %s: started, process %d", name, process.pid());
    }

    /** Kills the process (SIGKILL) and waits for its end. */
    void kill() throws InterruptedException {
        if (process != null && process.isAlive()) {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
            record.add("node %s: killed", name);
        }
    }

    /** Sends SIGTERM and waits until the process has ended. */
    void terminate(int limitSeconds) throws InterruptedException {
        record.add("node %s: SIGTERM", name);
        process.destroy();
        if (!process.waitFor(limitSeconds, TimeUnit.SECONDS)) {
            kill();
        }
        record.add("node %s: ended", name);
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    boolean ready() {
        try {
            return Http.call(
                                    fields.get("listen-addresses.ready"),
                                    "GET",
                                    Names.of("ready-path"),
                                    Map.of(),
                                    "",
                                    1_000)
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until the node says that it is ready. */
    void awaitReady(int limitSeconds) throws IOException, InterruptedException {
        long end = record.now() + limitSeconds * 1_000L;
        while (!ready()) {
            if (record.now() > end || !alive()) {
                throw new IOException("node " + name + " does not become ready");
            }
            Thread.sleep(20);
        }
        record.add("node %s: ready", name);
    }
}
