package review;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/** A faulty back end spoils the status line of a few answers. */
public final class SpoiltStatus {

    private static final String HOST = "hulo84.example";
    private static final int REQUESTS = 600;
    /** One in this many answers of the faulty back end is spoilt, 2 in 100. */
    private static final int SPOILT_ONE_IN = 50;

    /** Status lines with a digit lost or one too many; a status code has three digits. */
    private static final String[] SPOILT = {"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2 OK", "HTTP/1.1 2200 OK"};

    public static void main(String[] args) throws Exception {
        Trial.run(folder -> {
            Store store = new Store();
            String routes = Wire.fill("config.route", "stock", HOST, "/stock/", "safe", 1_000, 1_500, "inventory", 2);
            String services = Wire.fill("config.service", "inventory") + "," + Wire.fill("config.service", "bookings");
            store.operatorWrites("config", "main", Wire.fill("config", 7, routes, services));
            Machine entry = new Machine("entry", "bookings", "pk-south-a", store, folder);
            Machine faulty = new Machine("faulty", "inventory", "pk-south-a", store, folder);
            Machine sound = new Machine("sound", "inventory", "pk-south-a", store, folder);
            AtomicInteger answers = new AtomicInteger();
            AtomicInteger spoilt = new AtomicInteger();
            Target.Work good = run -> {
                run.readBody();
                run.answer(200, "the answer".getBytes());
            };
            Target.Work bad = run -> {
                run.readBody();
                if (!Trial.trouble() || answers.incrementAndGet() % SPOILT_ONE_IN != 0) {
                    run.answer(200, "the answer".getBytes());
                    return;
                }
                String line = SPOILT[spoilt.getAndIncrement() % SPOILT.length];
                Record.line("the back end answers %s with '%s'", run.id, line);
                run.answerWithLine(line, "the answer".getBytes());
            };
            Target first = new Target("inventory", "i-inv1", "pk-south-a", faulty.app, 58, bad);
            Target second = new Target("inventory", "i-inv2", "pk-south-a", sound.app, 58, good);
            Target own = new Target("bookings", "i-book1", "pk-south-a", entry.app, 58, good);
            Machine[] all = {entry, faulty, sound};
            for (Machine machine : all) {
                machine.start();
            }
            for (Machine machine : all) {
                machine.awaitReady();
            }
            first.reportTo(faulty.controlAddress());
            second.reportTo(sound.controlAddress());
            own.reportTo(entry.controlAddress());
            Thread.sleep(4_000);
            int noAnswers = 0;
            int served = 0;
            try (Caller caller = new Caller(entry, 0)) {
                caller.socket.setSoTimeout(3_000);
                for (int i = 0; i < REQUESTS; i++) {
                    String id = "stock-" + i;
                    caller.out.write(Caller.head("GET", "/stock/" + id, HOST, id, 2_000));
                    Message head = Message.readHead(caller.in);
                    if (head == null) {
                        throw new IOException("the connection was closed");
                    }
                    head.readBody(caller.in, false, (data, length) -> {});
                    served += head.startLine.startsWith("HTTP/1.1 200 ") ? 1 : 0;
                    Record.line("client: %s got '%s'", id, head.startLine);
                    if (!head.startLine.matches("HTTP/1\\.1 [1-5]\\d\\d( .*)?")) {
                        noAnswers++;
                        Record.say("%s got bytes that are no answer: '%s'", id, head.startLine);
                    }
                }
            }
            Record.say("%d of %d requests got 200, %d answers were spoilt, %d clients got bytes that are no answer",
                    served, REQUESTS, spoilt.get(), noAnswers);
            if (Trial.trouble() && spoilt.get() == 0) {
                Trial.cannotRun("the faulty back end got no work");
            }
            return noAnswers == 0;
        });
    }
}
