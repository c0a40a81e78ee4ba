package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A planned stop of a node while requests that it took from clients wait for a busy back end. */
public final class PlannedStop {

    private static final String HOST = "hulo84.example";
    private static final int REQUESTS = 10;
    private static final int SLOTS = 4;
    private static final int WORK_MS = 1_600;
    private static final int SENT_AFTER_MS = 2_600;
    private static final int TIMEOUT_MS = 5_000;
    private static final int LOSS_SLACK_MS = 200;
    /** Start of the last sixth of the grace period of 6 s. */
    private static final int LAST_SIXTH_MS = 5_000;

    private static final class Outcome {
        long sentAt;
        long endedAt;
        String end = "no end";
        boolean answered;
    }

    public static void main(String[] args) throws Exception {
        Trial.run(folder -> {
            Store store = new Store();
            String routes = Wire.fill(
                    "config.route", "reserve", HOST, "/reserve/", "unsafe", TIMEOUT_MS, 1_500, "bookings", 2);
            String services = Wire.fill("config.service", "bookings") + "," + Wire.fill("config.service", "inventory");
            store.operatorWrites("config", "main", Wire.fill("config", 7, routes, services));
            Machine entry = new Machine("entry", "inventory", "pk-south-a", store, folder);
            Machine beside = new Machine("beside", "bookings", "pk-south-a", store, folder);
            Map<String, Long> started = new ConcurrentHashMap<>();
            Map<String, Long> finished = new ConcurrentHashMap<>();
            Target bookings = new Target("bookings", "i-book1", "pk-south-a", beside.app, SLOTS, run -> {
                run.readBody();
                started.put(run.id, Record.millis());
                Thread.sleep(run.id.startsWith("first") ? 10 : WORK_MS);
                finished.put(run.id, Record.millis());
                run.answer(200, new byte[100]);
                Record.line("back end: %s is finished", run.id);
            });
            Target inventory = new Target("inventory", "i-inv1", "pk-south-a", entry.app, 58, run -> {
                run.readBody();
                run.answer(200, new byte[100]);
            });
            entry.start();
            beside.start();
            entry.awaitReady();
            beside.awaitReady();
            bookings.reportTo(beside.controlAddress());
            inventory.reportTo(entry.controlAddress());
            Thread.sleep(4_000);
            List<Caller> callers = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                callers.add(new Caller(entry, 0));
                Outcome first = new Outcome();
                call(callers.get(i), "first-" + i, first);
                if (!first.answered) {
                    Trial.cannotRun("a request before the trouble was not answered: " + first.end);
                }
            }
            long stopAt = Record.millis();
            entry.process.onExit().thenRun(
                    () -> Record.line("the stopped process ended %d ms after the signal", Record.millis() - stopAt));
            if (Trial.trouble()) {
                entry.signal("TERM");
            }
            Thread.sleep(SENT_AFTER_MS);
            Outcome[] outcomes = new Outcome[REQUESTS];
            CountDownLatch done = new CountDownLatch(REQUESTS);
            for (int i = 0; i < REQUESTS; i++) {
                int number = i;
                outcomes[i] = new Outcome();
                Threads.start("client " + i, () -> {
                    try {
                        call(callers.get(number), "reserve-" + number, outcomes[number]);
                    } finally {
                        done.countDown();
                    }
                });
            }
            done.await(20, TimeUnit.SECONDS);
            Thread.sleep(500);
            int lost = 0;
            for (int i = 0; i < REQUESTS; i++) {
                Outcome o = outcomes[i];
                String id = "reserve-" + i;
                Long start = started.get(id);
                Record.say(
                        "%s: sent %d ms after the signal, at the back end %s, ended %d ms after it was sent: %s",
                        id, o.sentAt - stopAt, start == null ? "never" : "from " + (start - stopAt) + " ms on",
                        o.endedAt - o.sentAt, o.end);
                boolean atWorkLate = start != null && finished.getOrDefault(id, Long.MAX_VALUE) - stopAt >= LAST_SIXTH_MS;
                boolean timeUp = o.endedAt - o.sentAt >= TIMEOUT_MS;
                if (!o.answered && !atWorkLate && !timeUp && o.endedAt - o.sentAt > LOSS_SLACK_MS) {
                    lost++;
                }
            }
            Record.say("%d of %d requests ended without an answer and without an excuse", lost, REQUESTS);
            return lost == 0;
        });
    }

    private static void call(Caller caller, String id, Outcome outcome) {
        try {
            caller.socket.setSoTimeout(TIMEOUT_MS + 2_000);
            byte[] body = "carpet for one".getBytes();
            outcome.sentAt = Record.millis();
            caller.out.write(Caller.head("POST", "/reserve/" + id, HOST, id, TIMEOUT_MS, "Content-Length: " + body.length));
            caller.out.write(body);
            Message head = Message.readHead(caller.in);
            if (head == null) {
                outcome.end = "the connection was closed without an answer";
            } else {
                head.readBody(caller.in, false, (data, length) -> {});
                outcome.end = head.startLine;
                outcome.answered = true;
            }
        } catch (IOException e) {
            outcome.end = e.toString();
        } finally {
            outcome.endedAt = Record.millis();
            Record.line("client: %s ended: %s", id, outcome.end);
        }
    }
}
