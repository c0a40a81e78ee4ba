package review;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for a back end: reports to the node beside it, runs the requests that name its instance, answers others with
 * 421, and drops the requests of closed connections.
 */
public final class Target {

    /** Answers a request whose head was read. */
    public interface Work {
        void answer(Run run) throws IOException, InterruptedException;
    }

    /** One request that runs. */
    public final class Run {
        public final Message head;
        public final InputStream in;
        public final OutputStream out;
        public final String id;

        /** Whether the answer whose head was written last is sent in chunks. */
        public boolean chunked;
        private final Socket socket;

        Run(Message head, InputStream in, OutputStream out, Socket socket) {
            this.socket = socket;
            this.head = head;
            this.in = in;
            this.out = out;
            this.id = head.header(Wire.get("header.id"));
        }

        public byte[] readBody() throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            head.readBody(in, false, (data, length) -> body.write(data, 0, length));
            return body.toByteArray();
        }

        /** Writes the head of an answer; a negative length means chunks. */
        public void head(int status, long length, String... more) throws IOException {
            head("HTTP/1.1 " + status + " Status", length, more);
        }

        private void head(String first, long length, String... more) throws IOException {
            chunked = length < 0;
            StringBuilder text = new StringBuilder(first).append("\r\n");
            text.append(Wire.get("header.id")).append(": ").append(id).append("\r\n");
            text.append(Wire.get("header.seal")).append(": seal.").append(instance).append('.').append(id).append("\r\n");
            text.append(Wire.get("header.load")).append(": ").append(running.get()).append(",0,").append(slots).append("\r\n");
            text.append(length < 0 ? "Transfer-Encoding: chunked" : "Content-Length: " + length).append("\r\n");
            for (String line : more) {
                text.append(line).append("\r\n");
            }
            out.write(text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Answers with a status line of any form. */
        public void answerWithLine(String line, byte[] body) throws IOException {
            head(line, body.length);
            out.write(body);
            out.flush();
        }

        public void answer(int status, byte[] body) throws IOException {
            head(status, body.length);
            out.write(body);
            out.flush();
        }

        /** Resets the connection. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        public Target target() {
            return Target.this;
        }
    }

    public final String service;
    public final String instance;
    public final int slots;
    public final AtomicInteger running = new AtomicInteger();
    public final AtomicInteger runs = new AtomicInteger();
    private final ServerSocket server;
    private final String zone;
    private final Work work;
    private final long born = System.currentTimeMillis();
    private final AtomicInteger sequence = new AtomicInteger();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final HttpClient reporter = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private volatile boolean ended;
    private volatile String state = "ready";

    public Target(String service, String instance, String zone, int port, int slots, Work work) throws IOException {
        this.service = service;
        this.instance = instance;
        this.zone = zone;
        this.slots = slots;
        this.work = work;
        this.server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
        Threads.start("target " + instance, this::accept);
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Reports to a node every 1.5 s from now on. */
    public void reportTo(String control) {
        Threads.start("reports " + instance, () -> {
            while (!ended) {
                report(control);
                Thread.sleep(1_500);
            }
        });
    }

    /** Sends one report; returns the status of the answer, 0 if there was none. */
    public int report(String control) {
        String body = Wire.fill(
                "report", address(), born, service, zone, slots, state, sequence.incrementAndGet());
        try {
            HttpRequest request = HttpRequest.newBuilder(
                            URI.create("http://" + control + Wire.fill("path.report", instance)))
                    .header("Content-Type", "application/json")
                    .timeout(Duration.ofSeconds(1))
                    .PUT(HttpRequest.BodyPublishers.ofString(body))
                    .build();
            int status = reporter.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
            if (sequence.get() == 1) {
                Record.line("target %s of %s at %s reported first, answer %d", instance, service, address(), status);
            }
            return status;
        } catch (IOException | InterruptedException e) {
            return 0;
        }
    }

    /** Ends the back end like a crash: connections are reset and nothing is reported any more. */
    public void crash() throws IOException {
        ended = true;
        server.close();
        for (Socket socket : open) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        Record.line("target %s of %s crashed", instance, service);
    }

    private void accept() throws IOException {
        while (!ended) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            open.add(socket);
            Threads.start("connection of " + instance, () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 32 * 1024);
            OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 32 * 1024);
            while (!ended) {
                Message head = Message.readHead(in);
                if (head == null) {
                    return;
                }
                if (!handle(new Run(head, in, out, socket))) {
                    return;
                }
            }
        } catch (IOException e) {
            Record.line("target %s: a connection ended: %s", instance, e.getMessage());
        } finally {
            open.remove(socket);
        }
    }

    private boolean handle(Run run) throws IOException {
        String expected = run.head.header(Wire.get("header.instance-expected"));
        if (run.id == null || expected != null && !expected.equals(instance)) {
            run.readBody();
            int status = run.id == null ? 400 : 421;
            run.out.write(("HTTP/1.1 " + status + " Rejected\r\n" + Wire.get("header.id") + ": " + run.id + "\r\n"
                            + Wire.get("header.not-run") + ": 1\r\n" + Wire.get("header.instance") + ": " + instance
                            + "\r\nContent-Length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            run.out.flush();
            Record.line("target %s of %s answers %d to %s", instance, service, status, run.id);
            return true;
        }
        running.incrementAndGet();
        runs.incrementAndGet();
        Record.line("target %s of %s runs %s: %s", instance, service, run.id, run.head.startLine);
        try {
            work.answer(run);
            return true;
        } catch (InterruptedException e) {
            return false;
        } finally {
            running.decrementAndGet();
        }
    }
}
