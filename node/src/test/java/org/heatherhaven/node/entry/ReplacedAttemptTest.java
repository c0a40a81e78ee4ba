package org.heatherhaven.node.entry;

import java.io.IOException;
import java.net.Socket;
import java.util.List;

import net.jqwik.api.Example;
import org.heatherhaven.core.effect.Effect.CancelAttempt;
import org.heatherhaven.core.event.TrafficEvent.AttemptLost;
import org.heatherhaven.core.event.TrafficEvent.CallArrived;
import org.heatherhaven.node.wire.FrameType;

/**
 * An attempt that was lost while it was being sent, and replaced at once, took the place of its successor: the rest of
 * the body, credit for the answer and the cancellation were discarded.
 */
class ReplacedAttemptTest {

    private static void expect(Object expected, Object actual) {
        if (!expected.equals(actual)) {
            throw new AssertionError("expected " + expected + ", saw " + actual);
        }
    }

    @Example
    void anAttemptThatReplacesALostOneCanBeCancelled() throws IOException {
        try (EntryFixture entry = new EntryFixture(10, (stream, head) -> List.of())) {
            Socket caller = entry.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
            long call = ((CallArrived) entry.next()).call();
            entry.calls().forward(EntryFixture.forward(call, 1, EntryFixture.UNREACHABLE, "1"));
            expect(AttemptLost.class, entry.next().getClass());
            // From now on events are handled on the thread that posts them, as with shared threads.
            entry.mailbox()
                    .processOnSenderThreads(() -> entry.mailbox()
                            .poll()
                            .filter(event -> event instanceof AttemptLost lost && lost.attempt() == 2)
                            .ifPresent(
                                    lost -> entry.calls().forward(EntryFixture.forward(call, 3, entry.peer(), "1"))));
            entry.calls().forward(EntryFixture.forward(call, 2, EntryFixture.UNREACHABLE, "1"));
            entry.calls().cancel(new CancelAttempt(call, 3));
            entry.calls().forward(EntryFixture.forward(call, 4, entry.peer(), "1"));
            entry.awaitOffers(2);
            expect(List.of(FrameType.OFFER, FrameType.CANCEL, FrameType.OFFER), entry.received());
            caller.close();
        }
    }
}
