package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** One client sends a request with many short headers while others read their answers. */
public final class ManyHeaders {

    private static final String HOST = "hulo84.example";
    private static final int ANSWER_BYTES = 300_000;
    private static final int CLIENTS = 8;
    private static final int HEADERS = 1_200;

    public static void main(String[] args) throws Exception {
        Trial.run(folder -> {
            Store store = new Store();
            String routes = Wire.fill("config.route", "files", HOST, "/files/", "unsafe", 5_000, 1_500, "inventory", 2);
            String services = Wire.fill("config.service", "inventory") + "," + Wire.fill("config.service", "bookings");
            store.operatorWrites("config", "main", Wire.fill("config", 7, routes, services));
            Machine entry = new Machine("entry", "bookings", "pk-south-a", store, folder);
            Machine beside = new Machine("beside", "inventory", "pk-south-a", store, folder);
            Target inventory = new Target("inventory", "i-inv1", "pk-south-a", beside.app, 58, run -> {
                run.readBody();
                if (run.head.path().endsWith("/short")) {
                    run.answer(200, new byte[100]);
                    return;
                }
                run.head(200, ANSWER_BYTES);
                for (int i = 0; i < 30; i++) {
                    run.out.write(new byte[ANSWER_BYTES / 30]);
                    run.out.flush();
                    Thread.sleep(100);
                }
            });
            Target bookings = new Target("bookings", "i-book1", "pk-south-a", entry.app, 58, run -> {
                run.readBody();
                run.answer(200, new byte[100]);
            });
            entry.start();
            beside.start();
            entry.awaitReady();
            beside.awaitReady();
            inventory.reportTo(beside.controlAddress());
            bookings.reportTo(entry.controlAddress());
            Thread.sleep(4_000);
            CountDownLatch done = new CountDownLatch(CLIENTS);
            AtomicInteger cut = new AtomicInteger();
            for (int i = 0; i < CLIENTS; i++) {
                String id = "file-" + i;
                Threads.start(id, () -> {
                    try {
                        cut.addAndGet(call(entry, id) ? 0 : 1);
                    } finally {
                        done.countDown();
                    }
                });
            }
            Thread.sleep(1_500);
            if (Trial.trouble()) {
                List<String> more = new ArrayList<>();
                for (int i = 0; i < HEADERS; i++) {
                    more.add("x" + (i % 10) + ": 1");
                }
                byte[] head = Caller.head("GET", "/files/short", HOST, "many", 5_000, more.toArray(String[]::new));
                try (Caller caller = new Caller(entry, 0)) {
                    caller.socket.setSoTimeout(6_000);
                    caller.out.write(head);
                    Message answer = Message.readHead(caller.in);
                    Record.say("the request with %d headers, %d bytes, got %s", HEADERS, head.length,
                            answer == null ? "nothing" : answer.startLine);
                }
            }
            done.await(20, TimeUnit.SECONDS);
            Record.say("%d of %d requests of other clients ended without a complete answer", cut.get(), CLIENTS);
            return cut.get() <= 3;
        });
    }

    private static boolean call(Machine entry, String id) throws IOException {
        long[] got = {0};
        try (Caller caller = new Caller(entry, 0)) {
            caller.socket.setSoTimeout(6_000);
            caller.out.write(Caller.head("POST", "/files/short", HOST, id + "-first", 5_000, "Content-Length: 0"));
            Message first = Message.readHead(caller.in);
            first.readBody(caller.in, false, (data, length) -> {});
            caller.out.write(Caller.head("POST", "/files/" + id, HOST, id, 5_000, "Content-Length: 0"));
            Message head = Message.readHead(caller.in);
            if (head == null) {
                Record.say("%s: connection closed without an answer", id);
                return false;
            }
            try {
                head.readBody(caller.in, false, (data, length) -> got[0] += length);
            } catch (IOException e) {
                Record.say("%s: %s, %d of %d bytes, then %s", id, head.startLine, got[0], ANSWER_BYTES, e);
                return false;
            }
            Record.say("%s: %s, %d of %d bytes", id, head.startLine, got[0], ANSWER_BYTES);
            return true;
        }
    }
}
