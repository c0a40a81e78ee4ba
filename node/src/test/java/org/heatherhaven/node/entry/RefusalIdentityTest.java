package org.heatherhaven.node.entry;

import java.io.IOException;
import java.util.List;
import java.util.Locale;

import net.jqwik.api.Example;
import org.heatherhaven.core.event.TrafficEvent.CallArrived;
import org.heatherhaven.core.event.TrafficEvent.CallerGone;

/** A refusal bore the id "none" though the request had one: callers took it for the answer to another request. */
class RefusalIdentityTest {

    private static final String POST = "POST /x HTTP/1.1\r\nId: mine\r\nHost: a\r\n";

    private static String idOf(String answer) {
        return answer.lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("id: "))
                .findFirst()
                .orElseThrow(() -> new AssertionError("no id in " + answer));
    }

    private static void expect(Object expected, Object actual) {
        if (!expected.equals(actual)) {
            throw new AssertionError("expected " + expected + ", saw " + actual);
        }
    }

    private static void refusedUnderItsOwnId(int mailboxCapacity, String status, String request) throws IOException {
        try (EntryFixture entry = new EntryFixture(mailboxCapacity, (stream, head) -> List.of())) {
            String answer = EntryFixture.readAll(entry.send(request));
            expect("HTTP/1.1 " + status, answer.substring(0, "HTTP/1.1 ".length() + status.length()));
            expect("id: mine", idOf(answer).toLowerCase(Locale.ROOT));
        }
    }

    @Example
    void aRequestRefusedByAFullMailboxIsAnsweredUnderItsOwnId() throws IOException {
        refusedUnderItsOwnId(0, "503", POST + "Content-Length: 0\r\n\r\n");
    }

    @Example
    void aRequestWithATooLargeLengthIsAnsweredUnderItsOwnId() throws IOException {
        refusedUnderItsOwnId(1, "413", POST + "Content-Length: 10001\r\n\r\n");
    }

    @Example
    void aRequestWithoutAPathIsAnsweredUnderItsOwnId() throws IOException {
        refusedUnderItsOwnId(1, "400", POST.replace("/x", "http://a/x") + "\r\n");
    }

    @Example
    void aRequestWithAnInvalidHeaderIsAnsweredUnderItsOwnId() throws IOException {
        refusedUnderItsOwnId(1, "400", POST + "Bad: 1\r\n\r\n");
    }

    @Example
    void aRequestWhoseHeadIsTooLargeIsAnsweredUnderItsOwnId() throws IOException {
        refusedUnderItsOwnId(1, "413", POST + "Long: " + "x".repeat(EntryFixture.MAX_HEADER_BYTES));
    }

    @Example
    void aBodyThatGrowsTooLargeBeforeTheFirstAttemptIsRefusedUnderItsRequestsOwnId() throws IOException {
        try (EntryFixture entry = new EntryFixture(1, (stream, head) -> List.of())) {
            String chunk = "fa0\r\n" + "x".repeat(4000) + "\r\n";
            String answer =
                    EntryFixture.readAll(entry.send(POST + "Transfer-Encoding: chunked\r\n\r\n" + chunk.repeat(3)));
            expect(CallArrived.class, entry.next().getClass());
            expect(CallerGone.class, entry.next().getClass());
            expect("HTTP/1.1 413", answer.substring(0, "HTTP/1.1 413".length()));
            expect("id: mine", idOf(answer).toLowerCase(Locale.ROOT));
        }
    }
}
