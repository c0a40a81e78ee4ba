package org.heatherhaven.node.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;

import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.heatherhaven.core.effect.Effect.RefuseCall;
import org.heatherhaven.core.event.TrafficEvent.CallArrived;
import org.heatherhaven.core.model.Header;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.node.wire.AnswerHead;
import org.heatherhaven.node.wire.Frame;
import org.heatherhaven.node.wire.FrameType;

/** An answer that is cut after its head was sent never looks complete, and no refusal follows its pieces. */
class CutAnswerTest {

    /** How an answer under way is cut. */
    private enum Cut {
        REFUSED {
            @Override
            void apply(EntryFixture entry, long call) {
                Refusal refusal = Refusal.unknown(Reason.TIMEOUT, "the deadline passed");
                entry.calls().refuse(new RefuseCall(call, "1", 1, refusal));
            }
        },
        LINK_CLOSED {
            @Override
            void apply(EntryFixture entry, long call) {
                entry.closeLinks();
            }
        };

        abstract void apply(EntryFixture entry, long call);
    }

    private static void awaitPiece(InputStream in) throws IOException {
        StringBuilder seen = new StringBuilder();
        while (seen.indexOf("\r\n\r\n") < 0 || seen.charAt(seen.length() - 1) != 'c') {
            seen.append((char) in.read());
        }
    }

    @Property
    void anAnswerThatIsCutEndsWithItsLastPiece(@ForAll Cut cut, @ForAll boolean withLength) throws IOException {
        List<Header> headers = withLength ? List.of(new Header("content-length", "5")) : List.of();
        try (EntryFixture entry = new EntryFixture(
                10,
                (stream, head) -> List.of(
                        Frame.of(FrameType.ANSWER, stream, new AnswerHead(200, headers)),
                        Frame.chunk(stream, Unpooled.wrappedBuffer(new byte[] {'c'}))))) {
            Socket caller = entry.send("GET /x HTTP/1.1\r\nHost: a\r\nId: 1\r\n\r\n");
            long call = ((CallArrived) entry.next()).call();
            entry.calls().forward(EntryFixture.forward(call, 1, entry.peer(), "1"));
            awaitPiece(caller.getInputStream());
            cut.apply(entry, call);
            String rest = EntryFixture.readAll(caller);
            String lineEnd = withLength ? "" : "\r\n";
            if (!lineEnd.equals(rest)) {
                throw new AssertionError("behind the last piece: " + rest);
            }
        }
    }
}
