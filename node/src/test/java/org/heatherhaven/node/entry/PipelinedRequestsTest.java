package org.heatherhaven.node.entry;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.Example;
import org.heatherhaven.core.effect.Effect.RefuseCall;
import org.heatherhaven.core.event.TrafficEvent.CallArrived;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;

/**
 * A request queued behind one that closed the connection became a call nevertheless: its target could run it, and its
 * answer followed the last answer of the connection or was lost.
 */
class PipelinedRequestsTest {

    private static final String GET = "GET /x HTTP/1.1\r\nHost: a\r\nId: ";

    private static void expect(Object expected, Object actual) {
        if (!expected.equals(actual)) {
            throw new AssertionError("expected " + expected + ", saw " + actual);
        }
    }

    @Example
    void aRequestBehindARefusedOneThatClosesTheConnectionIsNotMadeACall() throws IOException {
        try (EntryFixture entry = new EntryFixture(10, (stream, head) -> List.of())) {
            Socket caller = entry.send(GET + "1\r\n\r\n" + GET + "2\r\nBad: 1\r\n\r\n" + GET + "3\r\n\r\n");
            CallArrived first = (CallArrived) entry.next();
            entry.settle();
            Refusal refusal = Refusal.notRun(Reason.NO_TARGET, "none is left");
            entry.calls().refuse(new RefuseCall(first.call(), "1", 1, refusal));
            String answers = EntryFixture.readAll(caller);
            entry.settle();
            expect(2, answers.split("HTTP/1.1 ", -1).length - 1);
            expect(Optional.empty(), entry.mailbox().poll());
        }
    }
}
