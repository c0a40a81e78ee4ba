package org.heatherhaven.node.peer;

import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.Example;
import org.heatherhaven.core.message.PolicyPull;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.node.wire.AnswerEnd;
import org.heatherhaven.node.wire.AnswerHead;
import org.heatherhaven.node.wire.Frame;
import org.heatherhaven.node.wire.FrameType;
import org.heatherhaven.node.wire.RefusedHead;

/**
 * Frames of an offered call were dropped while many frames waited for the handshake, and later ones were sent: the target
 * got a body with a gap.
 */
class UnsentFramesTest {

    private static final int MANY = 20_000;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final PeerLink link =
            new PeerLink(new NodeId("10.0.0.1:7000"), null, channel.eventLoop(), () -> Instant.EPOCH, () -> {});

    UnsentFramesTest() {
        channel.pipeline().addLast(link);
    }

    private List<FrameType> sentForCalls() {
        channel.runPendingTasks();
        return Stream.generate(() -> (Frame) channel.readOutbound())
                .limit(channel.outboundMessages().size())
                .map(Frame::type)
                .filter(type -> !type.isControl())
                .toList();
    }

    @Example
    void aBodyHasNoGapThoughManyFramesWaitForTheHandshake() {
        AttemptStream call = link.offer(null, new NoListener());
        for (int i = 0; i < MANY; i++) {
            link.send(new PolicyPull(new NodeId("10.0.0.2:7000"), 1));
        }
        call.sendChunk(Unpooled.wrappedBuffer(new byte[] {1}));
        link.handshakeCompleted();
        call.endBody();
        List<FrameType> expected = List.of(FrameType.OFFER, FrameType.CHUNK, FrameType.BODY_END);
        List<FrameType> sent = sentForCalls();
        if (!expected.equals(sent)) {
            throw new AssertionError("expected " + expected + ", saw " + sent);
        }
    }

    /** The listener of a call that nothing is sent to. */
    private static final class NoListener implements AttemptListener {

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
            throw new AssertionError("the connection is open");
        }
    }
}
