package org.heatherhaven.node.entry;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.event.TrafficEvent.AttemptEnded;
import org.heatherhaven.core.event.TrafficEvent.AttemptLost;
import org.heatherhaven.core.event.TrafficEvent.AttemptRefused;
import org.heatherhaven.core.event.TrafficEvent.CallArrived;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.node.wire.AnswerEnd;
import org.heatherhaven.node.wire.AnswerHead;
import org.heatherhaven.node.wire.Frame;
import org.heatherhaven.node.wire.FrameType;
import org.heatherhaven.node.wire.RefusedHead;
import org.heatherhaven.node.wire.ReplyHead;

/**
 * In whatever order a peer sends the frames of an answer, the caller gets one whole answer or an incomplete one. A piece
 * ahead of the head was dropped, and the rest was passed on as a whole answer.
 */
class FrameOrderTest {

    private static final Signal SIGNAL = Signal.withoutOverload(0);
    private static final AnswerHead HEAD = new AnswerHead(200, List.of());

    /** A frame of the peer's answer to the first attempt. */
    private enum Step {
        HEAD,
        CHUNK,
        REPLY,
        REFUSED,
        END,
        BROKEN_END;

        private Frame frame(long stream) {
            return switch (this) {
                case HEAD -> Frame.of(FrameType.ANSWER, stream, FrameOrderTest.HEAD);
                case CHUNK -> Frame.chunk(stream, Unpooled.wrappedBuffer(new byte[] {'c'}));
                case REPLY -> reply(stream, "reply");
                case REFUSED ->
                    Frame.of(
                            FrameType.REFUSED,
                            stream,
                            new RefusedHead(Refusal.notRun(Reason.TARGET_OVERLOADED, "full"), SIGNAL));
                case END -> Frame.of(FrameType.END, stream, new AnswerEnd(true, SIGNAL));
                case BROKEN_END -> Frame.of(FrameType.END, stream, new AnswerEnd(false, SIGNAL));
            };
        }
    }

    private static Frame reply(long stream, String body) {
        return Frame.reply(
                stream,
                new ReplyHead(HEAD, SIGNAL),
                Unpooled.wrappedBuffer(body.getBytes(StandardCharsets.ISO_8859_1)));
    }

    /** Returns the body that the caller shall get, empty if its answer shall be incomplete. */
    private static Optional<String> expectedBody(List<Step> steps) {
        if (steps.get(0) != Step.HEAD) {
            return Optional.of(steps.get(0) == Step.REPLY ? "reply" : "second");
        }
        StringBuilder body = new StringBuilder();
        for (Step step : steps.subList(1, steps.size())) {
            if (step != Step.CHUNK) {
                return step == Step.END ? Optional.of(body.toString()) : Optional.empty();
            }
            body.append('c');
        }
        throw new IllegalArgumentException("no end in " + steps);
    }

    /** Returns the body of a chunked answer, empty if it has no end; fails if other bytes follow the end. */
    private static Optional<String> body(String answer) {
        int at = answer.indexOf("\r\n\r\n") + 4;
        StringBuilder body = new StringBuilder();
        while (at < answer.length()) {
            int lineEnd = answer.indexOf("\r\n", at);
            int length = Integer.parseInt(answer.substring(at, lineEnd), 16);
            body.append(answer, lineEnd + 2, lineEnd + 2 + length);
            at = lineEnd + 2 + length + 2;
            if (length == 0) {
                if (at != answer.length()) {
                    throw new AssertionError("bytes behind the end: " + answer);
                }
                return Optional.of(body.toString());
            }
        }
        return Optional.empty();
    }

    /** Plays the reducer with one retry until the call has ended. */
    private static void play(EntryFixture entry) {
        while (true) {
            Event event = entry.next();
            if (event instanceof CallArrived arrived) {
                entry.calls().forward(EntryFixture.forward(arrived.call(), 1, entry.peer(), "mine"));
            } else if (event instanceof AttemptRefused refused) {
                entry.calls()
                        .forward(EntryFixture.forward(refused.call(), refused.attempt() + 1, entry.peer(), "mine"));
            } else if (event instanceof AttemptLost lost) {
                entry.calls().forward(EntryFixture.forward(lost.call(), lost.attempt() + 1, entry.peer(), "mine"));
            } else if (event instanceof AttemptEnded) {
                return;
            }
        }
    }

    @Property(tries = 150, seed = "20261204")
    void aCallerGetsOneWholeAnswerOrAnIncompleteOne(@ForAll @Size(max = 4) List<Step> steps) throws IOException {
        List<Step> ended = new ArrayList<>(steps);
        ended.add(Step.BROKEN_END);
        try (EntryFixture entry = new EntryFixture(10, (stream, head) -> script(stream, ended))) {
            Socket caller = entry.send("GET /x HTTP/1.1\r\nHost: a\r\nId: mine\r\nConnection: close\r\n\r\n");
            play(entry);
            String answer = EntryFixture.readAll(caller);
            Optional<String> seen = body(answer);
            if (!expectedBody(ended).equals(seen)) {
                throw new AssertionError("expected " + expectedBody(ended) + " after " + ended + ", saw " + answer);
            }
        }
    }

    private static List<Frame> script(long stream, List<Step> steps) {
        return stream == 1 ? steps.stream().map(step -> step.frame(stream)).toList() : List.of(reply(stream, "second"));
    }
}
