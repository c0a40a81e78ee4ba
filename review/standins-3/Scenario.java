package review3;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A run of a case: the store, the machines and what is common to all cases. */
abstract class Scenario {

    static final String HOST = "calls.example";

    final Record record;
    final boolean trouble;
    final Store store;
    private final Path folder;
    private final List<Machine> machines = new ArrayList<>();

    Scenario(Record record, Path folder, boolean trouble) throws IOException {
        this.record = record;
        this.folder = folder;
        this.trouble = trouble;
        this.store = new Store(record, "127.0.0.10");
    }

    /** Plays the case; returns whether the rule was broken. */
    abstract boolean play() throws Exception;

    Machine machine(String name, String zone, String service) throws IOException {
        String ip = "127.0.0." + (11 + machines.size());
        Machine machine = new Machine(record, folder, name, zone, ip, service, store.address());
        machines.add(machine);
        return machine;
    }

    static String route(String prefix, String service, String kind, boolean open) {
        return Names.body(
                "route.json",
                Map.of("host", HOST, "prefix", prefix, "service", service, "kind", kind, "public", open));
    }

    /** Returns a configuration; {@code tenants} is a JSON object, or empty for none. */
    static String config(int version, Map<String, String> routes, List<String> services, String tenants) {
        List<String> routeFields = new ArrayList<>();
        routes.forEach((name, route) -> routeFields.add("\"" + name + "\":" + route));
        List<String> serviceFields = services.stream()
                .map(service -> "\"" + service + "\":{\"health-check-path\":\"/healthz\",\"max-connections\":400,"
                        + "\"protocol\":\"h1\",\"tls\":false}")
                .toList();
        return "{\"version\":\"r" + version + "\",\"routes\":{" + String.join(",", routeFields) + "},\"services\":{"
                + String.join(",", serviceFields)
                + "},\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout-ms\":3000,"
                + "\"idle-timeout-ms\":15000}" + (tenants.isEmpty() ? "" : ",\"tenants\":" + tenants) + "}";
    }

    void startAll() throws Exception {
        for (Machine machine : machines) {
            machine.start();
        }
        for (Machine machine : machines) {
            machine.awaitReady(20);
        }
    }

    /** Waits until the given time of the record. */
    void until(long time) throws InterruptedException {
        long left = time - record.now();
        if (left > 0) {
            Thread.sleep(left);
        }
    }

    /** Waits until a request to a path is answered with 200. */
    void awaitServed(Clients clients, Machine machine, String path, String key) throws Exception {
        long end = record.now() + 15_000;
        while (clients.send(machine, "GET", HOST, path, key) != 200) {
            if (record.now() > end) {
                throw new IOException(path + " is not served");
            }
            Thread.sleep(100);
        }
    }

    void killAll() throws InterruptedException {
        for (Machine machine : machines) {
            machine.kill();
        }
    }
}
