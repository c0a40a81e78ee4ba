package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** The address of a back end that is gone goes to a back end of another service. */
public final class ReusedAddress {

    private static final String HOST = "hulo84.example";
    private static final long REUSE_AFTER_MS = 2_200;
    private static final int CLIENTS_PER_MACHINE = 3;

    private static final AtomicInteger FOREIGN_RUNS = new AtomicInteger();
    private static final AtomicInteger GOOD = new AtomicInteger();
    private static final AtomicInteger SENT = new AtomicInteger();

    private static Target target(Machine machine, String service, String instance) throws Exception {
        Target target = new Target(service, instance, machine.zone, machine.app, 58, run -> {
            run.readBody();
            if (!run.head.path().startsWith("/" + service + "/")) {
                FOREIGN_RUNS.incrementAndGet();
                Record.line("FOREIGN: %s of %s runs %s %s", instance, service, run.id, run.head.startLine);
            }
            Thread.sleep(20);
            run.answer(200, run.target().service.getBytes());
        });
        target.reportTo(machine.controlAddress());
        return target;
    }

    public static void main(String[] args) throws Exception {
        Trial.run(folder -> {
            Store store = new Store();
            String[] names = {"inventory", "bookings", "dispatch"};
            List<String> routes = new ArrayList<>();
            List<String> services = new ArrayList<>();
            for (String name : names) {
                routes.add(Wire.fill("config.route", name, HOST, "/" + name + "/", "safe", 1_000, 1_500, name, 2));
                services.add(Wire.fill("config.service", name));
            }
            store.operatorWrites("config", "main",
                    Wire.fill("config", 7, String.join(",", routes), String.join(",", services)));
            List<Machine> machines = new ArrayList<>();
            for (String number : List.of("1", "2", "3", "4")) {
                for (String name : names) {
                    machines.add(new Machine(name + "-" + number, name, "pk-south-a", store, folder));
                }
            }
            for (Machine machine : machines) {
                machine.start();
            }
            for (Machine machine : machines) {
                machine.awaitReady();
            }
            List<Target> targets = new ArrayList<>();
            for (Machine machine : machines) {
                targets.add(target(machine, machine.service, "i-" + machine.name));
            }
            Thread.sleep(4_000);
            long until = Record.millis() + 14_000;
            CountDownLatch clients = new CountDownLatch(machines.size() * CLIENTS_PER_MACHINE);
            for (Machine machine : machines) {
                for (int i = 0; i < CLIENTS_PER_MACHINE; i++) {
                    String client = machine.name + "-" + i;
                    Threads.start(client, () -> {
                        try {
                            sendUntil(machine, until, client);
                        } finally {
                            clients.countDown();
                        }
                    });
                }
            }
            Thread.sleep(3_000);
            // Two of four back ends of inventory and two of four of dispatch are gone for good.
            int[] gone = {0, 5, 6, 11};
            for (int index : gone) {
                targets.get(index).crash();
            }
            if (Trial.trouble()) {
                Thread.sleep(REUSE_AFTER_MS);
                for (int index : gone) {
                    machines.get(index).changeService("bookings");
                    target(machines.get(index), "bookings", "i-bookings-next-" + index);
                }
            }
            clients.await(30, TimeUnit.SECONDS);
            Record.say("%d of %d requests were answered with success", GOOD.get(), SENT.get());
            if (GOOD.get() < SENT.get() / 2) {
                Trial.cannotRun("less than half of the requests were served");
            }
            Record.say("%d requests were run by a service to which no configuration sends them", FOREIGN_RUNS.get());
            return FOREIGN_RUNS.get() == 0;
        });
    }

    /** Sends requests for all services in turn, each on a new connection, while its machine takes them. */
    private static void sendUntil(Machine machine, long until, String client) throws Exception {
        String[] paths = {"/inventory/", "/bookings/", "/dispatch/", "/inventory/"};
        int number = 0;
        while (Record.millis() < until) {
            String id = client + "-" + number;
            SENT.incrementAndGet();
            try (Caller caller = new Caller(machine, 0)) {
                caller.socket.setSoTimeout(3_000);
                caller.out.write(Caller.head("GET", paths[number % paths.length] + id, HOST, id, 2_000));
                Message head = Message.readHead(caller.in);
                StringBuilder body = new StringBuilder();
                if (head != null) {
                    head.readBody(caller.in, false, (data, length) -> body.append(new String(data, 0, length)));
                    GOOD.addAndGet(head.status() == 200 ? 1 : 0);
                }
                Record.line("client: %s got %s, %s", id, head == null ? "nothing" : head.startLine, body);
            } catch (java.io.IOException e) {
                Record.line("client: %s failed: %s", id, e);
            }
            number++;
            TimeUnit.MILLISECONDS.sleep(30);
        }
    }
}
