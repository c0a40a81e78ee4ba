import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients each send one request to a machine and keep their connections idle beyond the idle time-out of the
 * configuration. Then other clients try new connections to it.
 */
final class IdleConnections {

    private static final String SERVICE = "carpets";
    private static final String KEY = "k0123456789abcdefghi";
    private static final int IDLE_CLIENTS = 2_400;
    /** The configuration's idle-timeout-ms, and the users' stability-window-ms. */
    private static final long IDLE_TIMEOUT_MS = 15_000;

    private static final long STABILITY_MS = 3_000;
    private static final int NEW_CLIENTS = 20;

    private IdleConnections() {}

    public static void main(String[] args) {
        Kit.run(args[0], IdleConnections::play);
    }

    private static int play() throws Exception {
        int storePort = Kit.freePorts(1).get(0);
        Store store = new Store(storePort);
        Machine machine = new Machine("machine-1", SERVICE, storePort);
        machine.start();
        machine.awaitListening();
        store.configure(
                7,
                List.of(new Store.Route("/carpets/", SERVICE, 1_000)),
                List.of(new Store.Tenant("hotels", List.of(KEY), 0, 0)));
        new Backend("i-own", SERVICE, machine.app, machine.reports, path -> 100, (by, request) -> {})
                .startHeartbeats();
        machine.awaitReady();
        Thread.sleep(4_000);
        List<Socket> idle = new ArrayList<>();
        int served = 0;
        for (int i = 0; i < IDLE_CLIENTS; i++) {
            Socket socket = new Socket();
            try {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), machine.callers), 1_000);
                socket.setSoTimeout(2_000);
                Http.write(
                        socket.getOutputStream(),
                        "GET /carpets/stock HTTP/1.1",
                        Kit.clientHeaders(Kit.newId(), KEY, 1_000),
                        new byte[0]);
                served += Http.read(new BufferedInputStream(socket.getInputStream())).status() == 200 ? 1 : 0;
            } catch (IOException e) {
                Kit.note("client " + i + " is not served: " + e);
            }
            if (Kit.trouble()) {
                idle.add(socket);
            } else {
                socket.close();
            }
        }
        Kit.note("served of the first " + IDLE_CLIENTS + " clients: " + served + ", connections kept: " + idle.size());
        Thread.sleep(IDLE_TIMEOUT_MS + 2_000);
        AtomicInteger servedLater = new AtomicInteger();
        AtomicInteger tries = new AtomicInteger();
        AtomicInteger ready = new AtomicInteger();
        long start = Kit.now();
        while (Kit.now() < start + 3 * STABILITY_MS) {
            ready.addAndGet(machine.ready() ? 1 : 0);
            for (int i = 0; i < NEW_CLIENTS; i++) {
                tries.incrementAndGet();
                servedLater.addAndGet(Kit.get(machine.callers, "/carpets/stock", Kit.newId(), KEY, 1_000) == 200 ? 1 : 0);
            }
            Thread.sleep(500);
        }
        Kit.note("new clients served in " + (Kit.now() - start) + " ms: " + servedLater + " of " + tries
                + "; the machine said that it is ready " + ready + " times");
        return servedLater.get() == 0 && ready.get() > 0 ? Kit.BROKEN : Kit.HELD;
    }
}
