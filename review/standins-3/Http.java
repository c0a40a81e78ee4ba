package review3;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A small HTTP/1.1 client: one request on a new connection. */
final class Http {

    private Http() {}

    /** Status, headers with lower-case names, and body of an answer. */
    record Answer(int status, Map<String, String> headers, String body) {}

    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Sends a request; throws IOException if no whole answer arrives in time. */
    static Answer call(
            String address, String method, String path, Map<String, String> headers, String body, int timeoutMillis)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address(address), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            if (!headers.containsKey("Host")) {
                head.append("Host: ").append(address).append("\r\n");
            }
            headers.forEach((name, value) ->
                    head.append(name).append(": ").append(value).append("\r\n"));
            if (content.length > 0) {
                head.append("Content-Length: ").append(content.length).append("\r\n");
            }
            head.append("\r\n");
            socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(content);
            socket.getOutputStream().flush();
            return read(socket.getInputStream());
        }
    }

    private static Answer read(InputStream in) throws IOException {
        String[] status = line(in).split(" ", 3);
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(exactly(in, size));
                line(in);
            }
            line(in);
        } else {
            body.write(exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0"))));
        }
        return new Answer(Integer.parseInt(status[1]), headers, body.toString(StandardCharsets.UTF_8));
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(line(in).split(";")[0].trim(), 16);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the answer broke off");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }
}
