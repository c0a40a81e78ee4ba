package review3;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Clients on a machine: they send the same request again and again, each time with its own id, and never repeat one. */
final class Clients {

    private static final int TIMEOUT_MILLIS = 5_000;
    private static final AtomicLong IDS = new AtomicLong();

    private final Record record;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(Clients::daemon);
    private final ExecutorService workers = Executors.newCachedThreadPool(Clients::daemon);
    private final Map<String, Long> sentAt = new ConcurrentHashMap<>();
    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();

    Clients(Record record) {
        this.record = record;
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "client");
        thread.setDaemon(true);
        return thread;
    }

    /** Sends a request at every interval until {@link #stop}. */
    void start(Machine machine, String method, String host, String path, String key, int intervalMillis) {
        timer.scheduleAtFixedRate(
                () -> workers.execute(() -> send(machine, method, host, path, key)),
                0,
                intervalMillis,
                TimeUnit.MILLISECONDS);
    }

    /** Sends one request; returns the status, or 0 if there was no whole answer. */
    int send(Machine machine, String method, String host, String path, String key) {
        String id = String.format("c%08x", IDS.incrementAndGet());
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", host);
        headers.put(Names.of("request-id"), id);
        headers.put(Names.of("deadline"), "2000");
        if (!key.isEmpty()) {
            headers.put("Authorization", "Bearer " + key);
        }
        sentAt.put(id, record.now());
        record.add("client: sends %s %s %s%s with key '%s' to %s", id, method, host, path, key, machine.name());
        int status = 0;
        try {
            status = Http.call(machine.clientAddress(), method, path, headers, "", TIMEOUT_MILLIS)
                    .status();
        } catch (IOException e) {
            record.add("client: %s without an answer: %s", id, e.getMessage());
        }
        statuses.put(id, status);
        record.add("client: %s answered %d", id, status);
        return status;
    }

    /** Returns when a request was sent; 0 for one that no client sent. */
    long sentAt(String id) {
        return sentAt.getOrDefault(id, 0L);
    }

    /** Returns the status that a request was answered with, 0 if there was none. */
    int status(String id) {
        return statuses.getOrDefault(id, 0);
    }

    void stop() {
        timer.shutdownNow();
    }
}
