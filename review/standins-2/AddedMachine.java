import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Each machine of a small fleet stands still once for five seconds and goes on. Later a machine is added. All machines
 * together may serve no more of a tenant's requests than its rate and burst.
 */
final class AddedMachine {

    private static final String SERVICE = "carpets";
    private static final String KEY = "k0123456789abcdefghi";
    private static final double RATE = 40;
    private static final double BURST = 20;

    /** The users' quota-window-s, quota-overshoot and quota-slack. */
    private static final long WINDOW_MS = 5_000;

    private static final double OVERSHOOT = 0.1;
    private static final double SLACK = 20;
    private static final long FREEZE_MS = 5_000;
    private static final long CALM_MS = 6_000;
    /** Time for which the fleet is watched after the machine was added. */
    private static final long WATCH_MS = 30_000;
    /** Pause between two requests of the tenant's clients at one machine: more than the rate in all. */
    private static final long PAUSE_MS = 18;

    private AddedMachine() {}

    public static void main(String[] args) {
        Kit.run(args[0], AddedMachine::play);
    }

    private static int play() throws Exception {
        int storePort = Kit.freePorts(1).get(0);
        Store store = new Store(storePort);
        List<Long> runs = new ArrayList<>();
        AtomicInteger runsAtAdded = new AtomicInteger();
        List<Machine> machines = new ArrayList<>();
        for (int i = 1; i <= 2; i++) {
            machines.add(new Machine("machine-" + i, SERVICE, storePort));
        }
        for (Machine machine : machines) {
            machine.start();
        }
        for (Machine machine : machines) {
            machine.awaitListening();
        }
        store.configure(
                7,
                List.of(new Store.Route("/carpets/", SERVICE, 1_000)),
                List.of(new Store.Tenant("hotels", List.of(KEY), RATE, BURST)));
        for (Machine machine : machines) {
            backend(machine, runs, new AtomicInteger());
            machine.awaitReady();
        }
        Thread.sleep(8_000);
        Kit.note("announced: " + store.names("members"));
        for (Machine machine : machines) {
            if (Kit.trouble()) {
                machine.signal("STOP");
                Thread.sleep(FREEZE_MS);
                machine.signal("CONT");
            }
            Thread.sleep(CALM_MS);
        }
        Kit.note("announced: " + store.names("members"));
        Machine added = new Machine("machine-added", SERVICE, storePort);
        added.start();
        added.awaitListening();
        backend(added, runs, runsAtAdded);
        added.awaitReady();
        Thread.sleep(8_000);
        Kit.note("announced: " + store.names("members"));
        AtomicInteger wanted = new AtomicInteger();
        for (Machine machine : List.of(machines.get(0), machines.get(1), added)) {
            clients(machine, wanted);
        }
        long start = Kit.now();
        Kit.sleepUntil(start + WATCH_MS);
        double allowed = (RATE * WINDOW_MS / 1_000 + BURST) * (1 + OVERSHOOT) + SLACK;
        int most = mostInWindow(runs, start);
        Kit.note("requests sent: " + wanted + ", run: " + runs.size() + ", of them at the added machine's backend: "
                + runsAtAdded);
        Kit.note("most requests of the tenant that were sent and run within " + WINDOW_MS + " ms: " + most
                + ", allowed: " + allowed);
        if (runs.size() < RATE) {
            return Kit.NOT_RUN;
        }
        return most > allowed ? Kit.BROKEN : Kit.HELD;
    }

    private static void backend(Machine machine, List<Long> runs, AtomicInteger counter) throws Exception {
        new Backend("i-" + machine.name, SERVICE, machine.app, machine.reports, path -> 100, (by, request) -> {
                    long now = Kit.now();
                    counter.incrementAndGet();
                    synchronized (runs) {
                        runs.add(now);
                    }
                    Kit.note("run " + request.header(Names.of("header.id")) + " at " + by.instance());
                })
                .startHeartbeats();
    }

    /** Sends the tenant's requests to one machine, each answered or given up within a tenth of the window. */
    private static void clients(Machine machine, AtomicInteger sent) {
        Kit.daemon("clients", () -> {
            while (true) {
                Kit.daemon("client", () -> {
                    String id = Kit.newId();
                    sent.incrementAndGet();
                    Kit.note("sent " + id + " to " + machine.name);
                    Kit.note("answer " + id + " " + Kit.get(machine.callers, "/carpets/stock", id, KEY, 500));
                });
                Thread.sleep(PAUSE_MS);
            }
        });
    }

    /**
     * Returns the most runs in any span of the window less the time that a request may take, so that each of these
     * requests was also sent within the window.
     */
    private static int mostInWindow(List<Long> runs, long start) {
        List<Long> sorted;
        synchronized (runs) {
            sorted = runs.stream().filter(at -> at >= start).sorted().toList();
        }
        long span = WINDOW_MS - 500;
        int most = 0;
        int from = 0;
        for (int to = 0; to < sorted.size(); to++) {
            while (sorted.get(to) - sorted.get(from) > span) {
                from++;
            }
            most = Math.max(most, to - from + 1);
        }
        return most;
    }
}
