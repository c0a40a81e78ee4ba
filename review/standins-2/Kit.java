import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicLong;

/** Frame of a case: the record, the exit code, threads, ports and requests of clients. */
final class Kit {

    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;

    /** A case ends after this time in any event, in milliseconds. */
    private static final long MAX_RUN_MS = 112_000;

    private static final int CONNECT_MS = 1_000;
    private static final int FIRST_PORT = 12_000;
    private static final int PORTS = 18_000;
    private static final Random RANDOM = new Random();
    private static final Set<Integer> TAKEN = new HashSet<>();
    private static final long START = System.nanoTime();
    private static final AtomicLong IDS = new AtomicLong();
    private static PrintWriter record;

    private Kit() {}

    /** Body of a case or of a thread. */
    interface Action {
        void run() throws Exception;
    }

    /** True unless the environment says TROUBLE=0. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Runs a case in the folder of its record and ends this process with the exit code that it returns. */
    static void run(String folder, Callable<Integer> body) {
        Runtime.getRuntime().addShutdownHook(new Thread(Machine::killAll));
        daemon("limit", () -> {
            Thread.sleep(MAX_RUN_MS);
            note("the case took too long");
            end(NOT_RUN);
        });
        try {
            record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
            note("disruption: " + (trouble() ? "yes" : "no"));
            end(body.call());
        } catch (Exception e) {
            note("the case could not run: " + e);
            e.printStackTrace();
            end(NOT_RUN);
        }
    }

    private static synchronized void end(int code) {
        Machine.killAll();
        note("exit " + code);
        Runtime.getRuntime().halt(code);
    }

    /** Milliseconds since the case began. */
    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void note(String line) {
        if (record != null) {
            synchronized (record) {
                record.println(now() + " " + line);
            }
        }
    }

    static void daemon(String name, Action action) {
        Thread thread = new Thread(
                () -> {
                    try {
                        action.run();
                    } catch (Exception e) {
                        // A connection that ends is part of the cases; its effect is noted where it matters.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
    }

    static void sleepUntil(long at) throws InterruptedException {
        Thread.sleep(Math.max(0, at - now()));
    }

    /** Returns ports that are free now, from below those that the kernel gives to connections. */
    static synchronized List<Integer> freePorts(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        while (ports.size() < count) {
            int port = FIRST_PORT + RANDOM.nextInt(PORTS);
            if (!TAKEN.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                ports.add(socket.getLocalPort());
            } catch (IOException e) {
                note("port " + port + " is in use");
            }
        }
        return ports;
    }

    /** Returns a new id of a client attempt. */
    static String newId() {
        return String.format("%016x", IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    /** Returns the headers of a client's request. */
    static Map<String, String> clientHeaders(String id, String key, long timeLeftMs) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", Store.HOST);
        headers.put(Names.of("header.id"), id);
        headers.put(Names.of("header.time-left"), Long.toString(timeLeftMs));
        headers.put("Authorization", "Bearer " + key);
        return headers;
    }

    /** Sends one request on a new connection and returns the answer. */
    static Http.Message call(int port, String method, String path, Map<String, String> headers, byte[] body, int ms)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MS);
            socket.setSoTimeout(ms);
            Map<String, String> all = new LinkedHashMap<>(headers);
            all.put("Connection", "close");
            Http.write(socket.getOutputStream(), method + " " + path + " HTTP/1.1", all, body);
            return Http.read(new BufferedInputStream(socket.getInputStream()));
        }
    }

    /** Sends a GET as a client and returns the status, 0 if there was no whole answer. */
    static int get(int port, String path, String id, String key, long timeLeftMs) {
        try {
            return call(port, "GET", path, clientHeaders(id, key, timeLeftMs), new byte[0], (int) timeLeftMs + 500)
                    .status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Waits until a condition holds; throws if it does not in time. */
    static void await(String what, long ms, Callable<Boolean> condition) throws Exception {
        long limit = now() + ms;
        while (!condition.call()) {
            if (now() > limit) {
                throw new IllegalStateException("not in time: " + what);
            }
            Thread.sleep(50);
        }
    }
}
