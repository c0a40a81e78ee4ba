package org.heatherhaven.standin.http;

import java.nio.charset.StandardCharsets;

import net.jqwik.api.Example;

/** Guards the bytes of each fault of an answer. */
class AnswerFaultTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nA: b\r\n";
    private static final String BODY = "12345678";
    private static final String ANSWER = HEAD + "Content-Length: 8\r\n\r\n" + BODY;
    private static final String PART_OF_HEAD = HEAD.substring(0, HEAD.length() / 4);
    private static final String CUT_ANSWER = ANSWER.substring(0, ANSWER.length() - 6);

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static void expect(AnswerFault fault, String now, String beforeNextAnswer, boolean close) {
        AnswerFault.Transmission seen = fault.apply(bytes(HEAD), bytes(BODY), 0.25);
        String seenNow = new String(seen.now(), StandardCharsets.US_ASCII);
        String seenLater = new String(seen.beforeNextAnswer(), StandardCharsets.US_ASCII);
        if (!seenNow.equals(now) || !seenLater.equals(beforeNextAnswer) || seen.close() != close) {
            throw new AssertionError(fault + " sends " + seenNow + ", later " + seenLater + ", closes " + seen.close());
        }
    }

    @Example
    void eachFaultHasItsBytes() {
        expect(AnswerFault.COPY, ANSWER + ANSWER, "", false);
        expect(AnswerFault.LATE_COPY, ANSWER, ANSWER, false);
        expect(AnswerFault.HEAD_PART, ANSWER + PART_OF_HEAD, "", false);
        expect(AnswerFault.LATE_HEAD_PART, ANSWER, PART_OF_HEAD, false);
        expect(AnswerFault.BODY_PART, ANSWER + CUT_ANSWER, "", false);
        expect(AnswerFault.LATE_BODY_PART, ANSWER, CUT_ANSWER, false);
        expect(AnswerFault.NO_LENGTH, HEAD + "\r\n" + BODY, "", true);
        expect(AnswerFault.CUT_SHORT, CUT_ANSWER, "", true);
        expect(AnswerFault.NO_HTTP, "no answer in any protocol\r\n\r\n", "", false);
    }
}
