package org.heatherhaven.node.target;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;

/** A target that answers each request of a connection with the bytes of a script, which may be malformed. */
final class ScriptedTarget implements AutoCloseable {

    /** Ends an answer: the connection is closed normally, by a FIN. */
    static final String CLOSE = "CLOSE";

    /** Separates an answer from bytes that are sent repeatedly until the client closes the connection. */
    static final String ENDLESS = "ENDLESS";

    /** Separates the parts of an answer; each further part is sent after a call of {@link #sendNextPart}. */
    static final String LATER = "LATER";

    /** Ends an answer: the connection is reset. */
    static final String RESET = "RESET";

    private final ServerSocket listener;
    private final List<List<String>> scripts;
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final Semaphore nextPart = new Semaphore(0);
    private volatile int connections;

    /**
     * Starts the target.
     *
     * @param scripts one script for each connection in the order of opening, the last also for all further ones; a
     *     script holds one answer for each request
     */
    ScriptedTarget(List<List<String>> scripts) {
        this.scripts = scripts;
        try {
            this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Thread thread = new Thread(this::accept, "scripted-target");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    List<String> requests() {
        return requests;
    }

    int connections() {
        return connections;
    }

    void sendNextPart() {
        nextPart.release();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                List<String> script = scripts.get(Math.min(connections, scripts.size() - 1));
                connections++;
                Thread thread = new Thread(() -> serve(socket, script), "scripted-connection");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException e) {
            // The listener was closed at the end of the test.
            return;
        }
    }

    private void serve(Socket socket, List<String> script) {
        try (socket) {
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            for (String answer : script) {
                requests.add(readHead(in));
                String[] parts = answer.split(ENDLESS);
                String bytes = parts[0].replace(CLOSE, "").replace(RESET, "");
                writeParts(out, bytes.split(LATER, -1));
                while (parts.length > 1) {
                    out.write(parts[1].getBytes(StandardCharsets.ISO_8859_1));
                }
                if (answer.endsWith(RESET)) {
                    socket.setSoLinger(true, 0);
                    return;
                }
                if (answer.endsWith(CLOSE)) {
                    return;
                }
            }
            in.read();
        } catch (IOException e) {
            // The node closed the connection, as some scripts expect.
            return;
        }
    }

    private void writeParts(OutputStream out, String[] parts) throws IOException {
        for (int i = 0; i < parts.length; i++) {
            if (i > 0) {
                nextPart.acquireUninterruptibly();
            }
            out.write(parts[i].getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("closed");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
