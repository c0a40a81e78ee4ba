package org.heatherhaven.node.entry;

import java.util.List;
import java.util.function.BiFunction;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import net.jqwik.api.Example;
import org.heatherhaven.core.event.TrafficEvent.AttemptLost;
import org.heatherhaven.core.event.TrafficEvent.AttemptRefused;
import org.heatherhaven.core.event.TrafficEvent.CallArrived;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.node.wire.Frame;
import org.heatherhaven.node.wire.FrameType;
import org.heatherhaven.node.wire.OfferHead;
import org.heatherhaven.node.wire.RefusedHead;

/**
 * A piece of a body that arrived between a refused attempt and the next one went to the refused one; a body that grew
 * beyond what is buffered thereby reached the next target without its beginning.
 */
class ResentBodyTest {

    private static final int PIECE_BYTES = 40_000;

    /** Refuses the first offer only. */
    private static final BiFunction<Long, OfferHead, List<Frame>> REFUSE_FIRST = (stream, head) -> {
        RefusedHead refused =
                new RefusedHead(Refusal.notRun(Reason.TARGET_OVERLOADED, "full"), Signal.withoutOverload(0));
        return stream == 1 ? List.of(Frame.of(FrameType.REFUSED, stream, refused)) : List.of();
    };

    private static void expect(Object expected, Object actual) {
        if (!expected.equals(actual)) {
            throw new AssertionError("expected " + expected + ", saw " + actual);
        }
    }

    private static EmbeddedChannel callerWithHalfABody(EntryFixture entry) {
        EmbeddedChannel caller = entry.embeddedCaller(10 * PIECE_BYTES);
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x");
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, 2 * PIECE_BYTES);
        caller.writeInbound(request);
        caller.writeInbound(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[PIECE_BYTES])));
        return caller;
    }

    private static LastHttpContent otherHalf() {
        return new DefaultLastHttpContent(Unpooled.wrappedBuffer(new byte[PIECE_BYTES]));
    }

    @Example
    void aBodyThatGrowsBehindARefusedAttemptIsSentWhole() {
        try (EntryFixture entry = new EntryFixture(10, REFUSE_FIRST)) {
            EmbeddedChannel caller = callerWithHalfABody(entry);
            long call = ((CallArrived) entry.next()).call();
            entry.calls().forward(EntryFixture.forward(call, 1, entry.peer(), "1"));
            expect(true, ((AttemptRefused) entry.next()).resendable());
            caller.writeInbound(otherHalf());
            entry.calls().forward(EntryFixture.forward(call, 2, entry.peer(), "1"));
            expect(2 * PIECE_BYTES, entry.awaitBody(2));
        }
    }

    @Example
    void aBodyThatGrowsBehindAnAttemptLostWhileItIsSentIsSentWhole() {
        try (EntryFixture entry = new EntryFixture(10, (stream, head) -> List.of())) {
            EmbeddedChannel caller = callerWithHalfABody(entry);
            long call = ((CallArrived) entry.next()).call();
            entry.calls().forward(EntryFixture.forward(call, 1, EntryFixture.UNREACHABLE, "1"));
            expect(true, ((AttemptLost) entry.next()).resendable());
            // The delay after the failed connection lasts, so that this attempt is lost at once.
            entry.calls().forward(EntryFixture.forward(call, 2, EntryFixture.UNREACHABLE, "1"));
            expect(true, ((AttemptLost) entry.next()).resendable());
            caller.writeInbound(otherHalf());
            entry.calls().forward(EntryFixture.forward(call, 3, entry.peer(), "1"));
            expect(2 * PIECE_BYTES, entry.awaitBody(1));
        }
    }
}
