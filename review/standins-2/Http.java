import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Http {

    private Http() {}

    /**
     * A request or an answer.
     *
     * @param startLine request line or status line
     * @param headers headers by name, in any case
     * @param body body, empty if there is none
     */
    record Message(String startLine, Map<String, String> headers, byte[] body) {

        /** Returns a word of the start line. */
        String word(int index) {
            return startLine.split(" ", 3)[index];
        }

        /** Returns a header, or an empty text. */
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(word(1));
        }
    }

    /** Reads one message; throws EOFException if the connection ends before or within it. */
    static Message read(InputStream in) throws IOException {
        String startLine = line(in);
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.getOrDefault("Transfer-Encoding", "").toLowerCase().contains("chunked")) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(exactly(in, size));
                line(in);
            }
            line(in);
        } else {
            body.write(exactly(in, Integer.parseInt(headers.getOrDefault("Content-Length", "0"))));
        }
        return new Message(startLine, headers, body.toByteArray());
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(line(in).split(";")[0].trim(), 16);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the body ends after " + bytes.length + " of " + size + " bytes");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("the connection ended");
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).strip();
    }

    /** Writes a message with a length. */
    static void write(OutputStream out, String startLine, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(startLine).append("\r\n");
        headers.forEach((name, value) ->
                head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        whole.write(body);
        out.write(whole.toByteArray());
        out.flush();
    }
}
