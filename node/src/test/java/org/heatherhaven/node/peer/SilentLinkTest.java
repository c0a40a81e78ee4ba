package org.heatherhaven.node.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.timeout.IdleStateEvent;
import net.jqwik.api.Example;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.node.wire.AnswerEnd;
import org.heatherhaven.node.wire.AnswerHead;
import org.heatherhaven.node.wire.Frame;
import org.heatherhaven.node.wire.FrameType;
import org.heatherhaven.node.wire.RefusedHead;

/**
 * A connection to a peer is closed if calls are open and no frame arrives for the timeout, and only then. The reader idle
 * event also counts the time before the first call, so that a call on a long unused connection could be lost at once.
 */
class SilentLinkTest {

    private static final Duration HOUR = Duration.ofHours(1);

    private final List<Outcome> lost = new ArrayList<>();
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private Instant now = Instant.parse("2026-01-01T00:00:00Z");
    private final PeerLink link =
            new PeerLink(new NodeId("10.0.0.1:7000"), null, channel.eventLoop(), () -> now, () -> {});

    SilentLinkTest() {
        channel.freezeTime();
        channel.pipeline().addLast(link);
        link.handshakeCompleted();
    }

    private void advance(Duration time) {
        now = now.plus(time);
        channel.advanceTimeBy(time.toMillis(), TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    /** Fires the event that Netty's idle handler fires when nothing was read for a while. */
    private void fireReaderIdle() {
        channel.pipeline().fireUserEventTriggered(IdleStateEvent.READER_IDLE_STATE_EVENT);
    }

    private void offer() {
        link.offer(null, new LossRecorder());
        channel.runPendingTasks();
        channel.releaseOutbound();
    }

    private static void expect(Object expected, Object actual) {
        if (!expected.equals(actual)) {
            throw new AssertionError("expected " + expected + ", got " + actual);
        }
    }

    @Example
    void aCallIsNotLostBecauseItsConnectionWasIdleBeforeIt() {
        advance(HOUR);
        offer();
        advance(Duration.ofMillis(27));
        fireReaderIdle();
        advance(Duration.ofMillis(1));
        expect(true, channel.isActive());
        expect(List.of(), lost);
    }

    @Example
    void aCallIsLostWhenNoFrameArrivesForTheWholeTimeout() {
        advance(HOUR);
        offer();
        advance(Duration.ofMillis(27));
        fireReaderIdle();
        advance(PeerPipeline.SILENCE_TIMEOUT);
        expect(false, channel.isActive());
        expect(List.of(Outcome.UNKNOWN), lost);
    }

    @Example
    void aFrameFromThePeerKeepsTheConnectionOpen() {
        offer();
        advance(PeerPipeline.SILENCE_TIMEOUT.minusMillis(10));
        channel.writeInbound(Frame.withoutPayload(FrameType.KEEPALIVE, 0));
        advance(Duration.ofMillis(20));
        fireReaderIdle();
        advance(Duration.ofMillis(20));
        expect(true, channel.isActive());
    }

    /** Records that its attempt was lost; fails on everything else. */
    private final class LossRecorder implements AttemptListener {

        @Override
        public void headReceived(AnswerHead head) {
            throw new AssertionError("nothing was answered");
        }

        @Override
        public void chunkReceived(ByteBuf data) {
            throw new AssertionError("nothing was answered");
        }

        @Override
        public void answerEnded(AnswerEnd end) {
            throw new AssertionError("nothing was answered");
        }

        @Override
        public void answerReceived(AnswerHead head, ByteBuf data, Signal signal) {
            throw new AssertionError("nothing was answered");
        }

        @Override
        public void refused(RefusedHead refused) {
            throw new AssertionError("nothing was refused");
        }

        @Override
        public void creditReceived(int bytes) {
            throw new AssertionError("no credit was given");
        }

        @Override
        public void attemptLost(Outcome outcome) {
            lost.add(outcome);
        }
    }
}
