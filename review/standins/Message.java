package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Head of an HTTP/1.1 message, and helpers to read messages from a stream. */
public final class Message {

    public final String startLine;
    public final List<String[]> headers = new ArrayList<>();

    private Message(String startLine) {
        this.startLine = startLine;
    }

    /** Reads a head; returns null at the end of the stream before its first byte. */
    public static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Message message = new Message(first);
        while (true) {
            String line = readLine(in);
            if (line == null) {
                throw new EOFException("the head is cut off");
            }
            if (line.isEmpty()) {
                return message;
            }
            int colon = line.indexOf(':');
            message.headers.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream(64);
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("a line is cut off");
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    public String header(String name) {
        for (String[] header : headers) {
            if (header[0].equalsIgnoreCase(name)) {
                return header[1];
            }
        }
        return null;
    }

    public int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    public String method() {
        return startLine.substring(0, startLine.indexOf(' '));
    }

    public String path() {
        return startLine.split(" ")[1];
    }

    public boolean chunked() {
        String coding = header("Transfer-Encoding");
        return coding != null && coding.toLowerCase(Locale.ROOT).contains("chunked");
    }

    public boolean closes() {
        String connection = header("Connection");
        return connection != null && connection.toLowerCase(Locale.ROOT).contains("close");
    }

    public long length() {
        String length = header("Content-Length");
        return length == null ? -1 : Long.parseLong(length);
    }

    /** Receives pieces of a body. */
    public interface Sink {
        void piece(byte[] data, int length) throws IOException;
    }

    /** Reads the body; an early end throws EOFException. Without a length and chunks it is empty, or lasts to the end. */
    public void readBody(InputStream in, boolean untilEnd, Sink sink) throws IOException {
        if (chunked()) {
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new EOFException("the body is cut off");
                }
                int left = Integer.parseInt(size.split(";")[0].trim(), 16);
                if (left == 0) {
                    while (true) {
                        String trailer = readLine(in);
                        if (trailer == null) {
                            throw new EOFException("the body is cut off");
                        }
                        if (trailer.isEmpty()) {
                            return;
                        }
                    }
                }
                copy(in, left, sink);
                readLine(in);
            }
        }
        long length = length();
        if (length >= 0) {
            copy(in, length, sink);
        } else if (untilEnd) {
            copy(in, Long.MAX_VALUE, sink);
        }
    }

    private static void copy(InputStream in, long bytes, Sink sink) throws IOException {
        byte[] buffer = new byte[16 * 1024];
        long left = bytes;
        while (left > 0) {
            int got = in.read(buffer, 0, (int) Math.min(buffer.length, left));
            if (got < 0) {
                if (bytes == Long.MAX_VALUE) {
                    return;
                }
                throw new EOFException("the body is cut off, " + left + " bytes are missing");
            }
            sink.piece(buffer, got);
            left -= got;
        }
    }
}
