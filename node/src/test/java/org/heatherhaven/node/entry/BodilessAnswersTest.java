package org.heatherhaven.node.entry;

import java.io.IOException;
import java.net.Socket;
import java.util.List;

import io.netty.buffer.Unpooled;
import net.jqwik.api.Example;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.event.TrafficEvent.CallArrived;
import org.heatherhaven.core.model.Header;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.node.wire.AnswerHead;
import org.heatherhaven.node.wire.Frame;
import org.heatherhaven.node.wire.ReplyHead;

/** An answer that has a length but no body, to HEAD or of status 304, takes no bytes of the next answer. */
class BodilessAnswersTest {

    private static Frame reply(long stream) {
        int status = stream == 2 ? 304 : 200;
        String body = stream == 3 ? "third" : "";
        AnswerHead head = new AnswerHead(status, List.of(new Header("content-length", "5")));
        return Frame.reply(
                stream, new ReplyHead(head, Signal.withoutOverload(0)), Unpooled.wrappedBuffer(body.getBytes()));
    }

    @Example
    void answersToPipelinedRequestsKeepTheirBounds() throws IOException {
        try (EntryFixture entry = new EntryFixture(10, (stream, head) -> List.of(reply(stream)))) {
            Socket caller = entry.send("HEAD /1 HTTP/1.1\r\nHost: a\r\nId: 1\r\nExpect: 100-continue\r\n\r\n"
                    + "GET /2 HTTP/1.1\r\nHost: a\r\nId: 2\r\n\r\n"
                    + "GET /3 HTTP/1.1\r\nHost: a\r\nId: 3\r\nConnection: close\r\n\r\n");
            for (int ended = 0; ended < 3; ) {
                Event event = entry.next();
                if (event instanceof CallArrived arrived) {
                    String id = arrived.request().id().orElseThrow();
                    entry.calls().forward(EntryFixture.forward(arrived.call(), 1, entry.peer(), id));
                } else {
                    ended++;
                }
            }
            String expected = "HTTP/1.1 100 Continue\r\n\r\n"
                    + "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nId: 1\r\n\r\n"
                    + "HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\nId: 2\r\n\r\n"
                    + "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nId: 3\r\nconnection: close\r\n\r\nthird";
            String seen = EntryFixture.readAll(caller);
            if (!expected.equals(seen)) {
                throw new AssertionError("expected " + expected + ", saw " + seen);
            }
        }
    }
}
