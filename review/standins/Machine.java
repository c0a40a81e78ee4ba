package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One machine: its ports and its node, a process started with the command of the deploy file. */
public final class Machine {

    private static final Path ROOT = Path.of(System.getProperty("root", ".")).toAbsolutePath().normalize();
    private static final java.util.Set<Integer> TAKEN = new java.util.HashSet<>();
    private static final java.util.Random PORTS = new java.util.Random();
    private static final List<Process> STARTED = new ArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Machine::endAll));
    }

    public final String name;
    public final String service;
    public final String zone;
    public final int callers;
    public final int peers;
    public final int operators;
    public final int ready;
    public final int control;
    public final int app;
    private final Path folder;
    private final Path settings;
    public Process process;

    /** Creates a machine with addresses of its own. */
    public Machine(String name, String service, String zone, Store store, Path folder) throws IOException {
        callers = freePort();
        peers = freePort();
        operators = freePort();
        ready = freePort();
        control = freePort();
        app = freePort();
        this.name = name;
        this.service = service;
        this.zone = zone;
        this.folder = folder;
        this.settings = folder.resolve(name + ".toml");
        Files.writeString(settings, render(store));
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    private static int freePort() {
        while (true) {
            int port = 12_000 + PORTS.nextInt(18_000);
            if (!TAKEN.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
                return port;
            } catch (IOException e) {
                Record.line("port %d is in use", port);
            }
        }
    }

    /** Writes the settings anew for another service of the back end on this machine. */
    public void changeService(String newService) throws IOException {
        String text = Files.readString(settings);
        Files.writeString(settings, text.replace("service = \"" + service + '"', "service = \"" + newService + '"'));
        Record.line("the settings of %s name service %s", name, newService);
    }

    /** Fills in the template of the deploy file as the platform does. */
    private String render(Store store) throws IOException {
        String text = Files.readString(ROOT.resolve("deploy/settings.toml"));
        StringBuilder bounds = new StringBuilder();
        for (String bound : Wire.get("bounds").split(",")) {
            bounds.append(bounds.length() == 0 ? "" : ",").append('"').append(bound).append('"');
        }
        text = text.replaceAll("\\{\\{#bounds}}.*\\{\\{/bounds}}", Matcher.quoteReplacement(bounds.toString()));
        Map<String, String> values = Map.ofEntries(
                Map.entry("region|json", "\"pk-south\""),
                Map.entry("zone|json", '"' + zone + '"'),
                Map.entry("listen-addresses.outbound|json", "\"127.0.0.1:" + callers + '"'),
                Map.entry("ip", "127.0.0.1"),
                Map.entry("internal-port-range.0", Integer.toString(peers)),
                Map.entry("internal-port-range.1", Integer.toString(operators)),
                Map.entry("listen-addresses.ready|json", "\"127.0.0.1:" + ready + '"'),
                Map.entry("listen-addresses.control|json", "\"127.0.0.1:" + control + '"'),
                Map.entry("limits.max-fds", "4100"),
                Map.entry("service|json", '"' + service + '"'),
                Map.entry("app-address|json", "\"127.0.0.1:" + app + '"'),
                Map.entry("platform.address", store.address()));
        Matcher placeholder = Pattern.compile("\\{\\{([^}]*)}}").matcher(text);
        return placeholder.replaceAll(found -> {
            String value = values.get(found.group(1));
            if (value == null) {
                throw new IllegalStateException("the template asks for " + found.group(1));
            }
            return Matcher.quoteReplacement(value);
        });
    }

    /** Starts the node with the words of the deploy file. */
    public void start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(ROOT.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IllegalStateException("no command in the deploy file");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "))
                .directory(ROOT.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), name + ".log")));
        builder.environment().keySet().removeIf(key -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
        builder.environment().put("HEATHERHAVEN_SETTINGS", settings.toString());
        process = builder.start();
        synchronized (STARTED) {
            STARTED.add(process);
        }
        Record.line("node %s started, pid %d, callers at %d", name, process.pid(), callers);
    }

    public String controlAddress() {
        return "127.0.0.1:" + control;
    }

    public void signal(String signal) throws IOException, InterruptedException {
        Record.line("node %s gets SIG%s", name, signal);
        new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
    }

    public boolean isReady() {
        try {
            HttpRequest request = HttpRequest.newBuilder(
                            URI.create("http://127.0.0.1:" + ready + Wire.get("path.ready")))
                    .timeout(Duration.ofSeconds(1))
                    .build();
            return HttpClient.newHttpClient()
                            .send(request, HttpResponse.BodyHandlers.discarding())
                            .statusCode()
                    == 200;
        } catch (IOException | InterruptedException e) {
            return false;
        }
    }

    public void awaitReady() throws InterruptedException {
        for (int i = 0; i < 300; i++) {
            if (isReady()) {
                Record.line("node %s is ready", name);
                return;
            }
            if (!process.isAlive()) {
                break;
            }
            Thread.sleep(100);
        }
        String log = "";
        try {
            List<String> lines = Files.readAllLines(folder.resolve(name + ".log"));
            log = String.join(" | ", lines.subList(Math.max(0, lines.size() - 3), lines.size()));
        } catch (IOException e) {
            Record.line("no log of %s: %s", name, e);
        }
        Trial.cannotRun("node " + name + (process.isAlive() ? " did not get ready in time: " : " ended: ") + log);
    }

    static void endAll() {
        synchronized (STARTED) {
            for (Process process : STARTED) {
                process.destroyForcibly();
            }
            for (Process process : STARTED) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }
}
