import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.ToIntFunction;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** A sound backend beside a node: it runs requests, tells the node of itself, and can leave. */
final class Backend {

    static final int HEARTBEAT_MS = 1_500;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int ACKNOWLEDGEMENT_MS = 1_000;
    private static final int SLOTS = 58;

    /** Hears of each request that this backend runs. */
    interface Listener {
        void ran(Backend by, Http.Message request);
    }

    private final String instance;
    private final String service;
    private final int port;
    private final int reportPort;
    private final long born = System.currentTimeMillis();
    private final Listener listener;
    private final ToIntFunction<String> answerBytes;
    private long sequence;
    private volatile boolean beating = true;

    /**
     * Starts a backend that runs requests; {@link #startHeartbeats} makes it known.
     *
     * @param reportPort port at which the node beside it takes heartbeats
     * @param answerBytes size of the answer to a path
     */
    Backend(
            String instance,
            String service,
            int port,
            int reportPort,
            ToIntFunction<String> answerBytes,
            Listener listener)
            throws IOException {
        this.instance = instance;
        this.service = service;
        this.port = port;
        this.reportPort = reportPort;
        this.answerBytes = answerBytes;
        this.listener = listener;
        new Server(port, this::run);
    }

    String service() {
        return service;
    }

    String instance() {
        return instance;
    }

    private Server.Reply run(Http.Message request) {
        String id = request.header(Names.of("header.id"));
        if (!request.header(Names.of("header.expected")).equals(instance)) {
            return new Server.Reply(
                    421, Map.of(Names.of("header.id"), id, Names.of("header.instance"), instance), new byte[0]);
        }
        listener.ran(this, request);
        byte[] body = new byte[answerBytes.applyAsInt(request.word(1))];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) ('a' + i % 26);
        }
        return new Server.Reply(
                200, Map.of(Names.of("header.id"), id, Names.of("header.seal"), "seal." + id), body);
    }

    /** Sends heartbeats from now on until {@link #leave}. */
    void startHeartbeats() {
        Kit.daemon("heartbeats", () -> {
            while (beating) {
                send(compose());
                Thread.sleep(HEARTBEAT_MS);
            }
        });
    }

    /** Writes the next heartbeat, with the state and the sequence number of this moment, without sending it. */
    synchronized byte[] compose() throws IOException {
        return heartbeat("127.0.0.1:" + port, service, born, ++sequence);
    }

    /** Writes a heartbeat. */
    static byte[] heartbeat(String address, String service, long born, long sequence) throws IOException {
        ObjectNode beat = JSON.createObjectNode().put("address", address).put("born", born);
        beat.putObject("info")
                .put("service", service)
                .put("version", "v1")
                .put("zone", Machine.ZONE)
                .put("slots", SLOTS);
        beat.putObject("status")
                .put("state", "ready")
                .put("sequence", sequence)
                .put(Names.of("field.cold"), 0);
        return JSON.writeValueAsBytes(beat);
    }

    /** Sends a heartbeat and returns the status, 0 if there was none. */
    int send(byte[] heartbeat) {
        return send(reportPort, instance, heartbeat);
    }

    static int send(int reportPort, String instance, byte[] heartbeat) {
        try {
            int status = Kit.call(
                            reportPort,
                            "PUT",
                            Names.of("path.instances") + instance,
                            Map.of("Host", "node", "Content-Type", "application/json"),
                            heartbeat,
                            ACKNOWLEDGEMENT_MS)
                    .status();
            Kit.note("heartbeat " + instance + " -> " + status + " "
                    + new String(heartbeat, StandardCharsets.UTF_8));
            return status;
        } catch (IOException e) {
            Kit.note("heartbeat " + instance + " -> none");
            return 0;
        }
    }

    /** Stops the heartbeats, takes leave, and returns when the node acknowledged it, 0 if it did not. */
    long leave() {
        beating = false;
        try {
            int status = Kit.call(
                            reportPort,
                            "DELETE",
                            Names.of("path.instances") + instance,
                            Map.of("Host", "node"),
                            new byte[0],
                            ACKNOWLEDGEMENT_MS)
                    .status();
            long at = Kit.now();
            Kit.note("leave " + instance + " -> " + status);
            return status == 200 ? at : 0;
        } catch (IOException e) {
            Kit.note("leave " + instance + " -> none");
            return 0;
        }
    }
}
