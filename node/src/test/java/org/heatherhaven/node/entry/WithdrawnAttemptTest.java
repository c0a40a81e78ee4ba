package org.heatherhaven.node.entry;

import java.io.IOException;
import java.net.Socket;
import java.util.List;

import io.netty.buffer.Unpooled;
import net.jqwik.api.Example;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.TrafficEvent.AttemptEnded;
import org.heatherhaven.core.event.TrafficEvent.AttemptRefused;
import org.heatherhaven.core.event.TrafficEvent.CallArrived;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.node.wire.AnswerEnd;
import org.heatherhaven.node.wire.AnswerHead;
import org.heatherhaven.node.wire.Frame;
import org.heatherhaven.node.wire.FrameType;
import org.heatherhaven.node.wire.RefusedHead;

/** The end of a withdrawn attempt is still reported, so that its caller can be told whether the call has run. */
class WithdrawnAttemptTest {

    private static final Signal SIGNAL = Signal.withoutOverload(0);

    private static Socket send(EntryFixture entry) throws IOException {
        return entry.send("GET /x HTTP/1.1\r\nHost: a\r\nId: mine\r\nConnection: close\r\n\r\n");
    }

    private static long forwarded(EntryFixture entry) {
        long call = ((CallArrived) entry.next()).call();
        entry.calls().forward(EntryFixture.forward(call, 1, entry.peer(), "mine"));
        entry.awaitOffers(1);
        return call;
    }

    @Example
    void theRefusalOfAWithdrawnAttemptIsReported() throws IOException {
        try (EntryFixture entry = new EntryFixture(10, (stream, offer) -> List.of());
                Socket caller = send(entry)) {
            long call = forwarded(entry);
            entry.calls().withdraw(new Effect.WithdrawAttempt(call, 1));
            entry.awaitFrame(FrameType.CANCEL);
            Refusal notRun = Refusal.notRun(Reason.CALLER_GONE, "its caller left");
            entry.reply(Frame.of(FrameType.REFUSED, 1, new RefusedHead(notRun, SIGNAL)));
            if (!(entry.next() instanceof AttemptRefused refused)
                    || refused.refusal().outcome() != Outcome.NOT_RUN) {
                throw new AssertionError("the refusal was not reported");
            }
        }
    }

    @Example
    void anAnswerThatHasBegunGoesOn() throws IOException {
        try (EntryFixture entry = new EntryFixture(
                        10, (stream, offer) -> List.of(Frame.of(FrameType.ANSWER, 1, new AnswerHead(200, List.of()))));
                Socket caller = send(entry)) {
            long call = forwarded(entry);
            int first = caller.getInputStream().read();
            entry.calls().withdraw(new Effect.WithdrawAttempt(call, 1));
            entry.settle();
            entry.reply(Frame.chunk(1, Unpooled.wrappedBuffer(new byte[] {'x'})));
            entry.reply(Frame.of(FrameType.END, 1, new AnswerEnd(true, SIGNAL)));
            if (!(entry.next() instanceof AttemptEnded ended) || !ended.complete()) {
                throw new AssertionError("the answer was cut");
            }
            String rest = EntryFixture.readAll(caller);
            if (first != 'H'
                    || !rest.endsWith("1\r\nx\r\n0\r\n\r\n")
                    || entry.received().contains(FrameType.CANCEL)) {
                throw new AssertionError("received " + rest);
            }
        }
    }
}
