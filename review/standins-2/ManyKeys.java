import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The operator moves a route from one service to the other and back. With the disruption the configuration holds many
 * keys, within the size that the store takes.
 */
final class ManyKeys {

    private static final List<String> SERVICES = List.of("carpets", "prices");
    private static final String KEY = "k0123456789abcdefghi";
    private static final String PATH = "/moved/";
    private static final int TENANTS = 8;
    private static final int KEYS_PER_TENANT = 2_000;
    private static final int MACHINES = 4;
    private static final int CHANGES = 8;
    private static final long BETWEEN_CHANGES_MS = 6_000;

    /** The users' config-apply-ms. */
    private static final long APPLY_MS = 2_000;

    /** A request of which the service that ran it is judged. */
    private record Sent(long at, String machine) {}

    private ManyKeys() {}

    public static void main(String[] args) {
        Kit.run(args[0], ManyKeys::play);
    }

    private static int play() throws Exception {
        int storePort = Kit.freePorts(1).get(0);
        Store store = new Store(storePort);
        List<Machine> machines = new ArrayList<>();
        for (int i = 1; i <= MACHINES; i++) {
            machines.add(new Machine("machine-" + i, SERVICES.get(i % 2), storePort));
        }
        for (Machine machine : machines) {
            machine.start();
        }
        for (Machine machine : machines) {
            machine.awaitListening();
        }
        Map<String, Sent> sent = new ConcurrentHashMap<>();
        AtomicInteger wrong = new AtomicInteger();
        AtomicInteger runs = new AtomicInteger();
        // Service that the newest configuration names, and when that configuration was acknowledged.
        String[] due = {SERVICES.get(0)};
        long[] acknowledgedAt = {Long.MAX_VALUE / 2};
        for (Machine machine : machines) {
            String service = SERVICES.get(machines.indexOf(machine) % 2 == 0 ? 1 : 0);
            new Backend("i-" + machine.name, service, machine.app, machine.reports, path -> 100, (by, request) -> {
                        String id = request.header(Names.of("header.id"));
                        Sent from = sent.get(id);
                        runs.incrementAndGet();
                        long late = from.at() - acknowledgedAt[0];
                        // Between two changes only: the next one is sent long after the last request that is judged.
                        boolean old = late > APPLY_MS && !by.service().equals(due[0]);
                        if (old) {
                            wrong.incrementAndGet();
                        }
                        Kit.note("run " + id + " at service " + by.service()
                                + (old ? " of an older configuration, sent " + late
                                        + " ms after the acknowledgement, at " + from.machine() : ""));
                    })
                    .startHeartbeats();
        }
        configure(store, 7, due[0]);
        for (Machine machine : machines) {
            machine.awaitReady();
        }
        Thread.sleep(8_000);
        for (Machine machine : machines) {
            clients(machine, sent);
        }
        for (int change = 1; change <= CHANGES; change++) {
            // Nothing is judged from shortly before a change until its acknowledgement.
            acknowledgedAt[0] = Long.MAX_VALUE / 2;
            Thread.sleep(1_500);
            due[0] = SERVICES.get(change % 2);
            acknowledgedAt[0] = configure(store, 7 + change, due[0]);
            Thread.sleep(BETWEEN_CHANGES_MS);
        }
        Kit.note("requests run: " + runs + ", of them sent over " + APPLY_MS
                + " ms after the acknowledgement of a configuration and run as only an older one allows: " + wrong);
        if (runs.get() < 1_000) {
            return Kit.NOT_RUN;
        }
        return wrong.get() > 0 ? Kit.BROKEN : Kit.HELD;
    }

    private static long configure(Store store, int version, String service) {
        List<Store.Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < TENANTS; i++) {
            List<String> keys = new ArrayList<>();
            if (i == 0) {
                keys.add(KEY);
            }
            for (int key = 0; Kit.trouble() && key < KEYS_PER_TENANT; key++) {
                keys.add(String.format("k%09d%010d", i, key));
            }
            tenants.add(new Store.Tenant("tenant-" + i, keys, 0, 0));
        }
        List<Store.Route> routes = new ArrayList<>(List.of(new Store.Route(PATH, service, 1_000)));
        SERVICES.forEach(each -> routes.add(new Store.Route("/" + each + "/", each, 1_000)));
        return store.configure(version, routes, tenants);
    }

    private static void clients(Machine machine, Map<String, Sent> sent) {
        Kit.daemon("clients", () -> {
            while (true) {
                Kit.daemon("client", () -> {
                    String id = Kit.newId();
                    sent.put(id, new Sent(Kit.now(), machine.name));
                    Kit.note("sent " + id + " to " + machine.name);
                    Kit.note("answer " + id + " " + Kit.get(machine.callers, PATH + "x", id, KEY, 1_000));
                });
                Thread.sleep(50);
            }
        });
    }
}
