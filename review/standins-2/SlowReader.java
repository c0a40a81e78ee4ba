import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A node gets SIGTERM while clients read long answers slowly. The backend has sent the answers whole; the clients would
 * have read them before the end of the grace period.
 */
final class SlowReader {

    private static final String SERVICE = "carpets";
    private static final String KEY = "k0123456789abcdefghi";
    private static final int TIME_LEFT_MS = 60_000;
    private static final int RECEIVE_BUFFER_BYTES = 65_536;

    /** Time after SIGTERM at which the clients read on; the users' grace-period-s is 6. */
    private static final long READ_ON_MS = 4_500;

    private static final long GRACE_MS = 6_000;

    /** Sizes of the answers of the search, from the smallest, by the step. */
    private static final int SMALLEST_BYTES = 256 * 1024;

    private static final int STEP_BYTES = 192 * 1024;
    private static final int STEPS = 48;
    private static final int READERS = 3;
    private static final int FINE_STEP_BYTES = 16 * 1024;

    private final Machine machine;

    private SlowReader(Machine machine) {
        this.machine = machine;
    }

    public static void main(String[] args) {
        Kit.run(args[0], SlowReader::play);
    }

    private static int play() throws Exception {
        int storePort = Kit.freePorts(1).get(0);
        Store store = new Store(storePort);
        Machine machine = new Machine("machine-1", SERVICE, storePort);
        machine.start();
        machine.awaitListening();
        store.configure(
                7,
                List.of(new Store.Route("/carpets/", SERVICE, TIME_LEFT_MS)),
                List.of(new Store.Tenant("hotels", List.of(KEY), 0, 0)));
        Backend backend = new Backend(
                "i-own",
                SERVICE,
                machine.app,
                machine.reports,
                path -> Integer.parseInt(path.substring(path.lastIndexOf('/') + 1)),
                (by, request) -> Kit.note("run " + request.header(Names.of("header.id")) + " " + request.word(1)));
        backend.startHeartbeats();
        machine.awaitReady();
        Thread.sleep(2_000);
        return new SlowReader(machine).judge();
    }

    private int judge() throws Exception {
        // The largest answer of which the node keeps nothing waiting for its backend, with a client that reads nothing.
        int coarse = largestTaken(SMALLEST_BYTES, STEP_BYTES, STEPS);
        int limit = largestTaken(coarse, FINE_STEP_BYTES, STEP_BYTES / FINE_STEP_BYTES);
        Kit.note("an answer of " + limit + " bytes is taken whole from the backend before the client reads");
        List<Reader> readers = new ArrayList<>();
        int from = limit;
        for (int i = 0; i < READERS; i++) {
            Reader reader = largestTakenAlone(from + 2 * FINE_STEP_BYTES);
            from = reader.bytes;
            readers.add(reader);
        }
        Kit.note("calls that the node still forwards: " + openCalls());
        if (Kit.trouble()) {
            machine.signal("TERM");
        }
        long stopAt = Kit.now();
        AtomicInteger cut = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (Reader reader : readers) {
            Thread thread = new Thread(() -> {
                try {
                    Kit.sleepUntil(stopAt + READ_ON_MS);
                } catch (InterruptedException e) {
                    return;
                }
                boolean whole = reader.readOn();
                boolean inTime = Kit.now() < stopAt + GRACE_MS;
                cut.addAndGet(!whole && inTime ? 1 : 0);
            });
            thread.start();
            threads.add(thread);
        }
        while (Kit.trouble() && machine.alive() && Kit.now() < stopAt + GRACE_MS) {
            Thread.sleep(20);
        }
        Kit.note("the node has " + (machine.alive() ? "not ended" : "ended") + " " + (Kit.now() - stopAt)
                + " ms after SIGTERM");
        for (Thread thread : threads) {
            thread.join();
        }
        Kit.note("answers cut within the grace period, though their backend had sent them whole: " + cut + " of "
                + readers.size());
        return cut.get() > 0 ? Kit.BROKEN : Kit.HELD;
    }

    /** Returns the largest size, from the given one in steps, of an answer whose call has ended unread at the node. */
    private int largestTaken(int from, int step, int steps) throws Exception {
        List<Reader> readers = new ArrayList<>();
        for (int i = 0; i < steps; i++) {
            readers.add(new Reader(from + i * step));
        }
        Thread.sleep(2_500);
        int waiting = openCalls();
        Kit.note(waiting + " of " + steps + " answers from " + from + " bytes wait in the node");
        for (Reader reader : readers) {
            reader.close();
        }
        Kit.await("the calls of the search end", 5_000, () -> openCalls() == 0);
        if (waiting == 0 || waiting == steps) {
            throw new IllegalStateException("no limit among " + steps + " answers from " + from + " bytes");
        }
        return from + (steps - waiting - 1) * step;
    }

    /** Starts readers of shorter and shorter answers, and returns the first whose call has ended unread at the node. */
    private Reader largestTakenAlone(int from) throws Exception {
        for (int bytes = from; bytes > SMALLEST_BYTES; bytes -= FINE_STEP_BYTES) {
            Reader reader = new Reader(bytes);
            Thread.sleep(400);
            if (openCalls() == 0) {
                return reader;
            }
            reader.close();
            Kit.await("the call of a longer answer ends", 5_000, () -> openCalls() == 0);
        }
        throw new IllegalStateException("no answer is taken whole");
    }

    private int openCalls() throws IOException {
        Matcher gauge = Pattern.compile("(?m)^calls_entered (\\d+)").matcher(machine.metrics());
        if (!gauge.find()) {
            throw new IOException("no gauge of calls:\n" + machine.metrics());
        }
        return Integer.parseInt(gauge.group(1));
    }

    /** A client that sends a request and reads nothing of the answer until it is told to. */
    private final class Reader {

        private final String id = Kit.newId();
        private final int bytes;
        private final Socket socket = new Socket();

        private Reader(int bytes) throws IOException {
            this.bytes = bytes;
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), machine.callers), 1_000);
            socket.setSoTimeout(20_000);
            Http.write(
                    socket.getOutputStream(),
                    "GET /carpets/" + bytes + " HTTP/1.1",
                    Kit.clientHeaders(id, KEY, TIME_LEFT_MS),
                    new byte[0]);
            Kit.note("sent " + id + " for " + bytes + " bytes");
        }

        private boolean readOn() {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                Http.Message answer = Http.read(in);
                Kit.note("answer " + id + " " + answer.status() + " whole, " + answer.body().length + " bytes");
                return true;
            } catch (IOException e) {
                Kit.note("answer " + id + " of " + bytes + " bytes is cut: " + e.getMessage());
                return false;
            }
        }

        private void close() throws IOException {
            socket.close();
        }
    }
}
