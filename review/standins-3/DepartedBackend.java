package review3;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A backend leaves and that is acknowledged. The store is away for a moment and returns from a copy made before. The
 * node beside the backend is restarted as planned, and a report that the backend sent before it left arrives late.
 */
final class DepartedBackend extends Scenario {

    private static final long DRAIN_LIMIT_MILLIS = 2_000;
    private static final long STABILITY_MILLIS = 3_000;

    DepartedBackend(Record record, Path folder, boolean trouble) throws Exception {
        super(record, folder, trouble);
    }

    @Override
    boolean play() throws Exception {
        store.write(
                "config",
                "main",
                config(7, Map.of("r-1", route("/b/", "bookings", "safe", true)), List.of("bookings", "pricing"), ""));
        Machine leaving = machine("m1", "zone-1", "bookings");
        Machine entry = machine("m2", "zone-1", "pricing");
        Machine staying = machine("m3", "zone-1", "bookings");
        startAll();
        Backend backend = new Backend(record, leaving, "bookings", "i-leaves");
        backend.startReports();
        new Backend(record, entry, "pricing", "i-entry").startReports();
        new Backend(record, staying, "bookings", "i-stays").startReports();
        Clients clients = new Clients(record);
        awaitServed(clients, entry, "/b/1", "");
        until(record.now() + 6_000);
        clients.start(entry, "GET", HOST, "/b/1", "", 50);
        until(record.now() + 1_500);

        Store.Copy copy = store.copy();
        until(record.now() + 1_200);
        String lateReport = backend.nextReport();
        long acknowledged = backend.leave();
        until(acknowledged + 200);
        if (trouble) {
            store.goAway();
            until(acknowledged + 700);
            store.comeBack(copy);
            until(acknowledged + 1_200);
            store.write(
                    "config",
                    "main",
                    config(
                            7,
                            Map.of("r-1", route("/b/", "bookings", "safe", true)),
                            List.of("bookings", "pricing"),
                            ""));
        }
        until(acknowledged + 1_500);
        leaving.terminate(6);
        leaving.start();
        long started = record.now();
        leaving.awaitReady(10);
        until(acknowledged + 6_000);
        backend.send(lateReport);
        until(acknowledged + 13_000);
        clients.stop();
        backend.crash();

        long inTouch = started + STABILITY_MILLIS;
        long late = backend.runs().stream()
                .filter(run -> run.at() > acknowledged + DRAIN_LIMIT_MILLIS)
                .filter(run -> clients.sentAt(run.requestId()) > inTouch)
                .count();
        record.add(
                "verdict: %d requests that were sent after %d, when all machines were in touch, reached the backend"
                        + " later than %d ms after its departure was acknowledged at %d",
                late, inTouch, DRAIN_LIMIT_MILLIS, acknowledged);
        return late > 0;
    }
}
