import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some clients send bodies of 60,000 bytes in chunks of one byte to a machine, while others send small requests. Not one
 * of the review's cases; KNOWN-RED.txt has the command.
 */
final class TinyChunks {

    private static final String SERVICE = "carpets";
    private static final String KEY = "k0123456789abcdefghi";
    private static final int BODY_BYTES = 60_000;
    private static final int SENDERS = 20;
    private static final int ROUNDS = 3;
    private static final int OTHERS = 8;
    private static final int TIMEOUT_MS = 1_000;
    private static final long WATCH_MS = 20_000;

    private TinyChunks() {}

    public static void main(String[] args) {
        Kit.run(args[0], TinyChunks::play);
    }

    private static int play() throws Exception {
        int storePort = Kit.freePorts(1).get(0);
        Store store = new Store(storePort);
        Machine machine = new Machine("machine-1", SERVICE, storePort);
        machine.start();
        machine.awaitListening();
        store.configure(
                7,
                List.of(new Store.Route("/carpets/", SERVICE, TIMEOUT_MS)),
                List.of(new Store.Tenant("hotels", List.of(KEY), 0, 0)));
        new Backend("i-own", SERVICE, machine.app, machine.reports, path -> 100, (by, request) -> {})
                .startHeartbeats();
        machine.awaitReady();
        Thread.sleep(4_000);
        byte[] body = body(Kit.trouble() ? 1 : BODY_BYTES);
        long start = Kit.now();
        for (int i = 0; i < SENDERS; i++) {
            Kit.daemon("sender", () -> {
                for (int round = 0; round < ROUNDS; round++) {
                    Kit.note("long request -> " + send(machine, body));
                }
            });
        }
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        for (int i = 0; i < OTHERS; i++) {
            Kit.daemon("other", () -> {
                while (true) {
                    sent.incrementAndGet();
                    // Half a second after the route's timeout there has to be an answer of some kind.
                    int status = Kit.get(machine.callers, "/carpets/stock", Kit.newId(), KEY, TIMEOUT_MS);
                    unanswered.addAndGet(status == 0 ? 1 : 0);
                    Kit.note("other request -> " + status);
                    Thread.sleep(50);
                }
            });
        }
        Kit.sleepUntil(start + WATCH_MS);
        Kit.note("other requests in " + WATCH_MS + " ms: " + sent + ", without an answer " + (TIMEOUT_MS + 500)
                + " ms after they were sent: " + unanswered + ", machine alive: " + machine.alive());
        return unanswered.get() > OTHERS ? Kit.BROKEN : Kit.HELD;
    }

    private static byte[] body(int chunkBytes) throws IOException {
        byte[] chunk = (Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int i = 0; i < BODY_BYTES / chunkBytes; i++) {
            body.write(chunk);
        }
        body.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        return body.toByteArray();
    }

    private static String send(Machine machine, byte[] body) {
        StringBuilder head = new StringBuilder("POST /carpets/plan HTTP/1.1\r\nTransfer-Encoding: chunked\r\n");
        for (Map.Entry<String, String> header :
                Kit.clientHeaders(Kit.newId(), KEY, 5_000).entrySet()) {
            head.append(header.getKey()).append(": ").append(header.getValue()).append("\r\n");
        }
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), machine.callers)) {
            socket.setSoTimeout(8_000);
            socket.getOutputStream().write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            return Integer.toString(
                    Http.read(new BufferedInputStream(socket.getInputStream())).status());
        } catch (IOException e) {
            return e.toString();
        }
    }
}
