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

/** A target that answers each request of a connection with the bytes of a script, well formed or not. */
final class ScriptedTarget implements AutoCloseable {

    /** Ends a script: the connection is closed in order. */
    static final String CLOSE = "CLOSE";

    /** Ends a script: the bytes after it are sent again and again until the caller closes. */
    static final String ENDLESS = "ENDLESS";

    /** Ends a script: the connection is reset. */
    static final String RESET = "RESET";

    private final ServerSocket listener;
    private final List<List<String>> scripts;
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private volatile int connections;

    /** One script a connection, the last one for all that follow; one entry a request. */
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
            // The listener was closed: the test is over.
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
                out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
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
            // The node closed the connection, which some scripts make it do.
            return;
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
