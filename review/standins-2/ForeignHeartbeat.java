import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Before the first configuration, a node hears a heartbeat of another writer that names a service of no configuration.
 * The node takes it for its own backend, and its clients' requests then bear that service as their origin.
 */
final class ForeignHeartbeat {

    private static final String OWN_SERVICE = "carpets";
    private static final String CALLED_SERVICE = "prices";
    private static final String FOREIGN_SERVICE = "unheard-of";
    private static final String KEY = "k0123456789abcdefghi";
    /** Time for which clients send after the configuration. */
    private static final long CLIENTS_MS = 15_000;
    /** Time after the start of clients within which nothing is judged: three heartbeats. */
    private static final long SETTLE_MS = 4_500;

    private ForeignHeartbeat() {}

    public static void main(String[] args) {
        Kit.run(args[0], ForeignHeartbeat::play);
    }

    private static int play() throws Exception {
        int storePort = Kit.freePorts(1).get(0);
        Store store = new Store(storePort);
        Machine own = new Machine("machine-1", OWN_SERVICE, storePort);
        Machine called = new Machine("machine-2", CALLED_SERVICE, storePort);
        own.start();
        called.start();
        own.awaitListening();
        called.awaitListening();
        AtomicInteger wrongOrigin = new AtomicInteger();
        AtomicInteger runsAtOwn = new AtomicInteger();
        AtomicInteger runsAtCalled = new AtomicInteger();
        AtomicInteger judged = new AtomicInteger();
        long[] judgedFrom = {Long.MAX_VALUE};
        Backend ownBackend = new Backend("i-own", OWN_SERVICE, own.app, own.reports, path -> 100, (by, request) -> {
            runsAtOwn.incrementAndGet();
            Kit.note("run " + request.header(Names.of("header.id")) + " at " + by.instance());
        });
        Backend calledBackend =
                new Backend("i-called", CALLED_SERVICE, called.app, called.reports, path -> 100, (by, request) -> {
                    String origin = request.header(Names.of("header.origin"));
                    runsAtCalled.incrementAndGet();
                    Kit.note("run " + request.header(Names.of("header.id")) + " at " + by.instance() + " from origin '"
                            + origin + "'");
                    // All clients of this case send to the machine of the own service.
                    if (Kit.now() > judgedFrom[0]) {
                        judged.incrementAndGet();
                        wrongOrigin.addAndGet(origin.equals(OWN_SERVICE) ? 0 : 1);
                    }
                });
        ownBackend.startHeartbeats();
        calledBackend.startHeartbeats();
        Thread.sleep(2_000);
        if (Kit.trouble()) {
            Backend.send(
                    own.reports,
                    "i-foreign",
                    Backend.heartbeat("127.0.0.1:" + own.app, FOREIGN_SERVICE, System.currentTimeMillis(), 1));
        }
        Thread.sleep(1_000);
        store.configure(
                7,
                List.of(
                        new Store.Route("/carpets/", OWN_SERVICE, 1_000),
                        new Store.Route("/prices/", CALLED_SERVICE, 1_000)),
                List.of(new Store.Tenant("hotels", List.of(KEY), 0, 0)));
        own.awaitReady();
        called.awaitReady();
        long start = Kit.now();
        judgedFrom[0] = start + SETTLE_MS;
        AtomicInteger refused = new AtomicInteger();
        while (Kit.now() < start + CLIENTS_MS) {
            for (String path : List.of("/prices/quote", "/carpets/stock")) {
                Kit.daemon("client", () -> {
                    String id = Kit.newId();
                    Kit.note("sent " + id + " " + path);
                    int status = Kit.get(own.callers, path, id, KEY, 2_000);
                    refused.addAndGet(Kit.now() > judgedFrom[0] && path.startsWith("/carpets") && status != 200 ? 1 : 0);
                    Kit.note("answer " + id + " " + status);
                });
            }
            Thread.sleep(100);
        }
        Thread.sleep(1_500);
        Kit.note("runs with another origin than the service of the machine, after the first " + SETTLE_MS + " ms: "
                + wrongOrigin + " of " + judged);
        Kit.note("runs at the backend of the machine itself: " + runsAtOwn + ", its requests not served: " + refused);
        if (runsAtCalled.get() == 0) {
            return Kit.NOT_RUN;
        }
        return wrongOrigin.get() > 0 ? Kit.BROKEN : Kit.HELD;
    }
}
