package org.heatherhaven.standin.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A fault in the way a server sends one answer. */
public enum AnswerFault {
    /** A second copy follows the answer at once. */
    COPY("copy") {
        @Override
        Transmission apply(byte[] head, byte[] body, double cutAt) {
            byte[] answer = framed(head, body);
            return Transmission.of(join(answer, answer));
        }
    },
    /** A second copy is sent when the next request arrives, before its answer. */
    LATE_COPY("late-copy") {
        @Override
        Transmission apply(byte[] head, byte[] body, double cutAt) {
            byte[] answer = framed(head, body);
            return new Transmission(answer, answer, false);
        }
    },
    /** The begin of a second copy, cut in its head, follows the answer at once. */
    HEAD_PART("head-part") {
        @Override
        Transmission apply(byte[] head, byte[] body, double cutAt) {
            return Transmission.of(join(framed(head, body), part(head, cutAt)));
        }
    },
    /** The begin of a second copy, cut in its head, is sent when the next request arrives, before its answer. */
    LATE_HEAD_PART("late-head-part") {
        @Override
        Transmission apply(byte[] head, byte[] body, double cutAt) {
            return new Transmission(framed(head, body), part(head, cutAt), false);
        }
    },
    /** The begin of a second copy, cut in its body, follows the answer at once. */
    BODY_PART("body-part") {
        @Override
        Transmission apply(byte[] head, byte[] body, double cutAt) {
            return Transmission.of(join(framed(head, body), cut(head, body, cutAt)));
        }
    },
    /** The begin of a second copy, cut in its body, is sent when the next request arrives, before its answer. */
    LATE_BODY_PART("late-body-part") {
        @Override
        Transmission apply(byte[] head, byte[] body, double cutAt) {
            return new Transmission(framed(head, body), cut(head, body, cutAt), false);
        }
    },
    /** The answer has no length; the end of the connection is its end. */
    NO_LENGTH("no-length") {
        @Override
        Transmission apply(byte[] head, byte[] body, double cutAt) {
            return new Transmission(join(head, END_OF_HEAD, body), NOTHING, true);
        }
    },
    /** The connection ends before the end of the body. */
    CUT_SHORT("cut-short") {
        @Override
        Transmission apply(byte[] head, byte[] body, double cutAt) {
            return new Transmission(cut(head, body, cutAt), NOTHING, true);
        }
    },
    /** Bytes that are no HTTP take the place of the answer. */
    NO_HTTP("no-http") {
        @Override
        Transmission apply(byte[] head, byte[] body, double cutAt) {
            return Transmission.of("no answer in any protocol\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
    };

    private static final byte[] NOTHING = {};
    private static final byte[] END_OF_HEAD = "\r\n".getBytes(StandardCharsets.US_ASCII);

    private final String label;

    AnswerFault(String label) {
        this.label = label;
    }

    /**
     * A fault of one answer.
     *
     * @param fault the fault
     * @param cutAt where a part is cut, as a fraction of the whole, 0 to 1
     */
    public record Choice(AnswerFault fault, double cutAt) {}

    /**
     * Bytes that are sent in place of an answer.
     *
     * @param now bytes that are sent at once
     * @param beforeNextAnswer bytes that are sent when the next request arrives on the connection
     * @param close true if the connection is closed after the bytes that are sent at once
     */
    record Transmission(byte[] now, byte[] beforeNextAnswer, boolean close) {

        static Transmission of(byte[] now) {
            return new Transmission(now, NOTHING, false);
        }
    }

    /**
     * Returns the name of the fault in settings.
     *
     * @return lower case, with hyphens
     */
    public String label() {
        return label;
    }

    /**
     * Returns the fault with a name.
     *
     * @param label name of the fault in settings
     * @return the fault
     * @throws IllegalArgumentException if no fault has the name
     */
    public static AnswerFault of(String label) {
        return Arrays.stream(values())
                .filter(fault -> fault.label.equals(label))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no fault of answers is named " + label));
    }

    /**
     * Returns the bytes that are sent in place of an answer.
     *
     * @param head status line and headers without a length, without the empty line after them
     * @param body whole body
     * @param cutAt where a part is cut, as a fraction of the whole, 0 to 1
     */
    abstract Transmission apply(byte[] head, byte[] body, double cutAt);

    /** Returns a whole answer with a length. */
    private static byte[] framed(byte[] head, byte[] body) {
        byte[] length = ("Content-Length: " + body.length + "\r\n").getBytes(StandardCharsets.US_ASCII);
        return join(head, length, END_OF_HEAD, body);
    }

    /** Returns an answer with a length that ends in its body. */
    private static byte[] cut(byte[] head, byte[] body, double cutAt) {
        byte[] answer = framed(head, body);
        int kept = (int) (body.length * cutAt);
        return Arrays.copyOf(answer, answer.length - body.length + kept);
    }

    private static byte[] part(byte[] bytes, double cutAt) {
        return Arrays.copyOf(bytes, (int) (bytes.length * cutAt));
    }

    private static byte[] join(byte[]... parts) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            joined.writeBytes(part);
        }
        return joined.toByteArray();
    }
}
