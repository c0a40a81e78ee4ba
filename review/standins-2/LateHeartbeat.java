import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend takes leave, its node acknowledges that and is killed and started again, and a heartbeat that the backend
 * sent before it left arrives late at the new process.
 */
final class LateHeartbeat {

    private static final String SERVICE = "carpets";
    private static final String KEY = "k0123456789abcdefghi";

    /** Age of the late heartbeat when it arrives. */
    private static final long LATE_MS = 4_000;
    /** The users' drain-timeout-ms and stability-window-ms. */
    private static final long DRAIN_MS = 2_000;

    private static final long STABILITY_MS = 3_000;
    /** Time from the acknowledgement for which the backend still serves. */
    private static final long SERVES_ON_MS = 12_000;

    private LateHeartbeat() {}

    public static void main(String[] args) {
        Kit.run(args[0], LateHeartbeat::play);
    }

    private static int play() throws Exception {
        int storePort = Kit.freePorts(1).get(0);
        Store store = new Store(storePort);
        Machine first = new Machine("machine-1", SERVICE, storePort);
        Machine second = new Machine("machine-2", SERVICE, storePort);
        first.start();
        second.start();
        first.awaitListening();
        second.awaitListening();
        store.configure(
                7,
                List.of(new Store.Route("/carpets/", SERVICE, 1_000)),
                List.of(new Store.Tenant("hotels", List.of(KEY), 0, 0)));
        long[] acknowledgedAt = {Long.MAX_VALUE / 2};
        AtomicInteger late = new AtomicInteger();
        AtomicInteger runs = new AtomicInteger();
        Backend leaving = new Backend("i-leaving", SERVICE, first.app, first.reports, path -> 100, (by, request) -> {
            long now = Kit.now();
            runs.incrementAndGet();
            boolean due = now > acknowledgedAt[0] + DRAIN_MS;
            // The node that sends the request on is in touch again a stability window after its start.
            boolean inTouch = now > first.startedAt() + STABILITY_MS;
            if (due && inTouch) {
                late.incrementAndGet();
            }
            Kit.note("run " + request.header(Names.of("header.id")) + " at " + by.instance()
                    + (due ? " " + (now - acknowledgedAt[0]) + " ms after its leave was acknowledged" : "")
                    + (due && inTouch ? ", machine in touch" : ""));
        });
        Backend staying = new Backend("i-staying", SERVICE, second.app, second.reports, path -> 100, (by, request) ->
                Kit.note("run " + request.header(Names.of("header.id")) + " at " + by.instance()));
        leaving.startHeartbeats();
        staying.startHeartbeats();
        first.awaitReady();
        second.awaitReady();
        Kit.daemon("clients", () -> {
            while (true) {
                Kit.daemon("client", () -> {
                    String id = Kit.newId();
                    Kit.note("sent " + id);
                    Kit.note("answer " + id + " " + Kit.get(second.callers, "/carpets/stock", id, KEY, 2_000));
                });
                Thread.sleep(50);
            }
        });
        Thread.sleep(6_000);
        if (runs.get() == 0) {
            throw new IllegalStateException("the backend gets no requests");
        }
        long composedAt = Kit.now();
        byte[] lateHeartbeat = leaving.compose();
        Thread.sleep(300);
        acknowledgedAt[0] = leaving.leave();
        if (acknowledgedAt[0] == 0) {
            throw new IllegalStateException("the leave was not acknowledged");
        }
        Thread.sleep(300);
        if (Kit.trouble()) {
            first.kill();
            Thread.sleep(300);
            first.start();
            first.awaitListening();
        }
        Kit.sleepUntil(composedAt + LATE_MS);
        leaving.send(lateHeartbeat);
        Kit.sleepUntil(acknowledgedAt[0] + SERVES_ON_MS);
        Kit.note("requests that reached the backend over " + DRAIN_MS
                + " ms after its leave was acknowledged, from a machine in touch: " + late);
        return late.get() > 0 ? Kit.BROKEN : Kit.HELD;
    }
}
