package review3;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** A backend beside a node: it runs requests, and reports to the node's report address. */
final class Backend {

    private static final int REPORT_INTERVAL_MILLIS = 1_500;
    private static final int REPORT_TIMEOUT_MILLIS = 1_000;

    private final Record record;
    private final Machine machine;
    private final String service;
    private final String id;
    private final long born = System.currentTimeMillis();
    private final HttpServer server;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "reports");
        thread.setDaemon(true);
        return thread;
    });
    private final List<Run> runs = new CopyOnWriteArrayList<>();
    private long sequence;
    private volatile long acceptedAt;

    /** A request that the backend ran. */
    record Run(long at, String requestId, Optional<String> callerService, Optional<String> tenant) {}

    /** Starts the backend; it reports only once {@link #startReports} is called. */
    Backend(Record record, Machine machine, String service, String id) throws IOException {
        this.record = record;
        this.machine = machine;
        this.service = service;
        this.id = id;
        server = HttpServer.create(Http.address(machine.backendAddress()), 200);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "backend " + id);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
        record.add("backend %s: started, service %s, address %s, born %d", id, service, machine.backendAddress(), born);
    }

    List<Run> runs() {
        return runs;
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            exchange.getRequestBody().readAllBytes();
            Optional<String> requestId = header(exchange, "request-id");
            Optional<String> expected = header(exchange, "expected-instance");
            requestId.ifPresent(value -> exchange.getResponseHeaders().set(Names.of("request-id"), value));
            exchange.getResponseHeaders().set(Names.of("instance"), id);
            if (expected.filter(other -> !other.equals(id)).isPresent()) {
                record.add("backend %s: 421 to %s, which expects %s", id, requestId.orElse("?"), expected.get());
                exchange.sendResponseHeaders(421, -1);
                return;
            }
            Run run = new Run(
                    record.now(), requestId.orElse("?"), header(exchange, "caller-service"), header(exchange, "tenant"));
            runs.add(run);
            record.add(
                    "backend %s: runs %s, caller service %s, tenant %s",
                    id, run.requestId(), run.callerService().orElse("-"), run.tenant().orElse("-"));
            byte[] body = ("run by " + id + "\n").getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set(Names.of("seal"), "seal." + body.length + "." + run.requestId());
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
        }
    }

    private static Optional<String> header(HttpExchange exchange, String name) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(Names.of(name)));
    }

    /** Reports at once and then at the usual interval. */
    void startReports() {
        timer.scheduleWithFixedDelay(this::reportReady, 0, REPORT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    void stopReports() {
        timer.shutdownNow();
    }

    private void reportReady() {
        send(nextReport());
    }

    /** Returns the next report as it is written now; it may be delivered later. */
    synchronized String nextReport() {
        sequence++;
        return Names.body(
                "report.json",
                Map.of(
                        "address", machine.backendAddress(),
                        "born", born,
                        "service", service,
                        "zone", machine.zone(),
                        "state", "ready",
                        "sequence", sequence));
    }

    /** Delivers a report; returns the status, or 0 if there was no answer. */
    int send(String report) {
        int status = 0;
        try {
            status = Http.call(
                            machine.reportAddress(),
                            "PUT",
                            Names.of("report-path") + id,
                            Map.of("Content-Type", "application/json"),
                            report,
                            REPORT_TIMEOUT_MILLIS)
                    .status();
        } catch (IOException e) {
            record.add("backend %s: report without an answer: %s", id, e.getMessage());
        }
        if (status == 200) {
            acceptedAt = record.now();
        }
        record.add("backend %s: reported %s -> %d", id, report, status);
        return status;
    }

    /** Waits until another report is accepted. */
    void awaitReport() throws InterruptedException {
        long before = acceptedAt;
        while (acceptedAt == before) {
            Thread.sleep(5);
        }
    }

    /** Reports that the backend leaves for good, until that is acknowledged; returns the time of that. */
    long leave() throws IOException {
        stopReports();
        for (int attempt = 0; attempt < 5; attempt++) {
            try {
                int status = Http.call(
                                machine.reportAddress(),
                                "DELETE",
                                Names.of("report-path") + id,
                                Map.of(),
                                "",
                                REPORT_TIMEOUT_MILLIS)
                        .status();
                record.add("backend %s: leaves -> %d", id, status);
                if (status / 100 == 2) {
                    return record.now();
                }
            } catch (IOException e) {
                record.add("backend %s: leaves, no answer: %s", id, e.getMessage());
            }
        }
        throw new IOException("the departure of " + id + " was not acknowledged");
    }

    /** Ends the backend like a crash. */
    void crash() {
        stopReports();
        server.stop(0);
        record.add("backend %s: ended", id);
    }
}
