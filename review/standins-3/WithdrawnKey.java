package review3;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A configuration takes a key away, and all nodes apply it. Later the store is away for a moment and returns from a
 * copy made before, while a machine is added. The operator writes the configuration again two seconds later.
 */
final class WithdrawnKey extends Scenario {

    private static final long REVOKE_MILLIS = 5_000;

    WithdrawnKey(Record record, Path folder, boolean trouble) throws Exception {
        super(record, folder, trouble);
    }

    private static String configuration(int version, String keys) {
        return config(
                version,
                Map.of("r-1", route("/b/", "bookings", "safe", false)),
                List.of("bookings"),
                "{\"team-1\":{\"api-keys\":[" + keys + "],\"priority\":1,\"rate-per-s\":500,\"burst\":500}}");
    }

    @Override
    boolean play() throws Exception {
        store.write("config", "main", configuration(7, "\"key-old\",\"key-kept\""));
        Machine first = machine("m1", "zone-1", "bookings");
        Machine second = machine("m2", "zone-2", "bookings");
        startAll();
        List<Backend> backends = new ArrayList<>();
        backends.add(new Backend(record, first, "bookings", "i-1"));
        backends.add(new Backend(record, second, "bookings", "i-2"));
        backends.forEach(Backend::startReports);
        Clients clients = new Clients(record);
        awaitServed(clients, first, "/b/1", "key-old");
        until(record.now() + 6_000);

        Store.Copy copy = store.copy();
        until(record.now() + 300);
        long acknowledged = store.write("config", "main", configuration(9, "\"key-kept\""));
        until(acknowledged + 3_000);
        for (Machine machine : List.of(first, second)) {
            if (clients.send(machine, "GET", HOST, "/b/1", "key-old") != 401) {
                throw new IllegalStateException("the withdrawn key is not refused by " + machine.name());
            }
        }
        until(acknowledged + 4_600);
        if (trouble) {
            store.goAway();
        }
        Machine added = machine("m3", "zone-3", "bookings");
        added.start();
        until(acknowledged + 5_100);
        if (trouble) {
            store.comeBack(copy);
        }
        backends.add(new Backend(record, added, "bookings", "i-3"));
        backends.get(2).startReports();
        added.awaitReady(10);
        clients.start(added, "GET", HOST, "/b/old", "key-old", 10);
        until(acknowledged + 7_100);
        store.write("config", "main", configuration(9, "\"key-kept\""));
        until(acknowledged + 10_000);
        clients.stop();

        long late = backends.stream()
                .flatMap(backend -> backend.runs().stream())
                .filter(run -> clients.sentAt(run.requestId()) > acknowledged + REVOKE_MILLIS)
                .count();
        record.add(
                "verdict: %d requests with the withdrawn key, sent later than %d ms after the acknowledgement at %d, ran",
                late, REVOKE_MILLIS, acknowledged);
        return late > 0;
    }
}
