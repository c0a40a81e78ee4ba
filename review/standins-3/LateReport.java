package review3;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A machine is lost with its backend, and its address goes to a new machine with a backend of another service, which
 * reports. The new node is killed and starts again, and a report of the first backend arrives late, before the next
 * report of the second.
 */
final class LateReport extends Scenario {

    private static final long REUSE_MILLIS = 2_000;

    LateReport(Record record, Path folder, boolean trouble) throws Exception {
        super(record, folder, trouble);
    }

    @Override
    boolean play() throws Exception {
        store.write(
                "config",
                "main",
                config(
                        7,
                        Map.of(
                                "r-1", route("/b/", "bookings", "safe", true),
                                "r-2", route("/i/", "inventory", "safe", true),
                                "r-3", route("/p/", "pricing", "safe", true)),
                        List.of("bookings", "inventory", "pricing"),
                        ""));
        Machine reused = machine("m1", "zone-1", "inventory");
        Machine other = machine("m2", "zone-1", "bookings");
        startAll();
        Backend first = new Backend(record, reused, "inventory", "i-first");
        first.startReports();
        Backend bookings = new Backend(record, other, "bookings", "i-bookings");
        bookings.startReports();
        Clients clients = new Clients(record);
        awaitServed(clients, reused, "/b/1", "");
        awaitServed(clients, other, "/i/1", "");

        String lateReport = first.nextReport();
        first.crash();
        reused.kill();
        until(record.now() + REUSE_MILLIS);
        reused.changeService("pricing");
        reused.start();
        reused.awaitReady(10);
        Backend second = new Backend(record, reused, "pricing", "i-second");
        second.startReports();
        awaitServed(clients, other, "/p/1", "");
        long registered = record.now();
        clients.start(reused, "GET", HOST, "/b/1", "", 20);
        second.awaitReport();
        reused.kill();
        reused.start();
        reused.awaitReady(10);
        if (trouble) {
            first.send(lateReport);
        }
        until(record.now() + 5_000);
        clients.stop();

        long wrong = bookings.runs().stream()
                .filter(run -> clients.sentAt(run.requestId()) > registered)
                .filter(run -> !run.callerService().orElse("").equals("pricing"))
                .count();
        record.add(
                "verdict: %d requests that began on a machine of service pricing, sent after %d, ran with another"
                        + " caller service",
                wrong, registered);
        return wrong > 0;
    }
}
