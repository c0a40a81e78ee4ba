package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Stand-in for a client: one connection to the node of its machine. */
public final class Caller implements AutoCloseable {

    public final Socket socket;
    public final InputStream in;
    public final OutputStream out;

    public Caller(Machine machine, int receiveBuffer) throws IOException {
        socket = new Socket();
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", machine.callers), 1_000);
        in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
        out = socket.getOutputStream();
    }

    /** Returns the head of a request. */
    public static byte[] head(String method, String path, String host, String id, long deadlineMs, String... more) {
        StringBuilder text = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
        text.append(Wire.get("header.id")).append(": ").append(id).append("\r\n");
        text.append(Wire.get("header.deadline")).append(": ").append(deadlineMs).append("\r\n");
        text.append("Authorization: Bearer ").append(Wire.get("config.key")).append("\r\n");
        for (String line : more) {
            text.append(line).append("\r\n");
        }
        return text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            Record.line("close failed: %s", e);
        }
    }
}
