package org.heatherhaven.node.peer;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.Example;
import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.message.PeerMessage;
import org.heatherhaven.core.message.PolicyPull;
import org.heatherhaven.core.model.AttemptKind;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Header;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.node.wire.AnswerEnd;
import org.heatherhaven.node.wire.AnswerHead;
import org.heatherhaven.node.wire.Frame;
import org.heatherhaven.node.wire.FrameCodec;
import org.heatherhaven.node.wire.FrameType;
import org.heatherhaven.node.wire.OfferHead;
import org.heatherhaven.node.wire.RefusedHead;
import org.heatherhaven.node.wire.ReplyHead;

/**
 * A frame that can't be read or written ends its own call at most. The connection was closed, and with it the calls of
 * all other callers that it carried: one request with 1,200 headers cut off eight answers.
 */
class BadFramesTest {

    private static final int MAX_FRAME_BYTES = 64 * 1024;
    private static final int OFFER = 10;
    private static final int ANSWER = 11;
    private static final int REFUSED = 12;
    private static final int END = 13;
    private static final int CREDIT = 16;
    private static final int REPLY = 19;
    private static final int PROBE = 32;
    private static final int POLICY_PAGE = 38;
    private static final int UNKNOWN = 120;
    /** A byte that begins no MessagePack value. */
    private static final byte NEVER_USED = (byte) 0xc1;

    private static final ReplyHead OK =
            new ReplyHead(new AnswerHead(200, List.of(new Header("a", "b"))), Signal.withoutOverload(0));

    private static OfferHead offer(int headers, String value) {
        CallHead call = new CallHead(
                "id",
                "id",
                "host",
                "GET",
                "/x",
                IntStream.range(0, headers)
                        .mapToObj(i -> new Header("h" + i, value))
                        .toList(),
                "",
                "s",
                "r",
                "",
                Importance.HIGH,
                Importance.HIGH,
                0,
                1_000,
                200,
                0,
                false,
                AttemptKind.FIRST,
                1);
        return new OfferHead(call, false);
    }

    private static void badFrame(ByteBuf out, int code, long stream) {
        out.writeInt(12)
                .writeByte(code)
                .writeLong(stream)
                .writeByte(NEVER_USED)
                .writeByte(NEVER_USED)
                .writeByte(NEVER_USED);
    }

    private static ByteBuf encoded(Frame frame) {
        EmbeddedChannel encoder = new EmbeddedChannel(new FrameCodec(MAX_FRAME_BYTES));
        encoder.writeOutbound(frame);
        return encoder.readOutbound();
    }

    /** Returns the frames that were written, decoded. */
    private static List<Frame> written(EmbeddedChannel channel) {
        channel.runPendingTasks();
        EmbeddedChannel decoder = new EmbeddedChannel(new FrameCodec(MAX_FRAME_BYTES));
        for (ByteBuf bytes = channel.readOutbound(); bytes != null; bytes = channel.readOutbound()) {
            decoder.writeInbound(bytes);
        }
        List<Frame> frames = new ArrayList<>();
        for (Frame frame = decoder.readInbound(); frame != null; frame = decoder.readInbound()) {
            frames.add(frame);
        }
        return frames;
    }

    private static void require(boolean condition, String what) {
        if (!condition) {
            throw new AssertionError(what);
        }
    }

    /** Records how a call of the side that opened the connection goes on. */
    private static final class Call implements AttemptListener {

        private final List<Object> seen = new ArrayList<>();

        @Override
        public void headReceived(AnswerHead head) {
            seen.add(head);
        }

        @Override
        public void chunkReceived(ByteBuf data) {
            data.release();
        }

        @Override
        public void answerEnded(AnswerEnd end) {
            seen.add(end);
        }

        @Override
        public void answerReceived(AnswerHead head, ByteBuf data, Signal signal) {
            data.release();
            seen.add(head);
        }

        @Override
        public void refused(RefusedHead refused) {
            seen.add(refused);
        }

        @Override
        public void creditReceived(int bytes) {
            seen.add(bytes);
        }

        @Override
        public void attemptLost(Outcome outcome) {
            seen.add(outcome);
        }
    }

    /** The side that opened a connection, after the handshake. */
    private static final class Opened {

        private final EmbeddedChannel channel = new EmbeddedChannel();
        private final PeerLink link =
                new PeerLink(new NodeId("10.0.0.1:7000"), null, channel.eventLoop(), () -> Instant.EPOCH, () -> {});

        private Opened() {
            channel.pipeline().addLast(new FrameCodec(MAX_FRAME_BYTES), link);
            link.handshakeCompleted();
        }

        private Call offer(OfferHead head) {
            Call call = new Call();
            link.offer(head, call);
            channel.runPendingTasks();
            return call;
        }
    }

    @Example
    void aFrameThatCanNotBeReadLosesItsOwnCallOnly() {
        for (int code : List.of(ANSWER, REFUSED, END, CREDIT, REPLY, UNKNOWN)) {
            Opened opened = new Opened();
            Call first = opened.offer(offer(1, "v"));
            Call second = opened.offer(offer(1, "v"));
            ByteBuf bytes = Unpooled.buffer();
            badFrame(bytes, code, 1);
            bytes.writeBytes(encoded(Frame.reply(2, OK, Unpooled.EMPTY_BUFFER)));
            opened.channel.writeInbound(bytes);
            require(opened.channel.isActive(), "the connection was closed after a bad frame of code " + code);
            require(first.seen.equals(List.of(Outcome.UNKNOWN)), "the first call saw " + first.seen);
            require(second.seen.equals(List.of(OK.answer())), "the second call saw " + second.seen);
            require(
                    written(opened.channel).stream().anyMatch(f -> f.type() == FrameType.CANCEL && f.stream() == 1),
                    "the lost call was not cancelled at the peer");
        }
    }

    @Example
    void aControlMessageThatCanNotBeReadIsDropped() {
        Opened opened = new Opened();
        Call call = opened.offer(offer(1, "v"));
        ByteBuf bytes = Unpooled.buffer();
        badFrame(bytes, POLICY_PAGE, 0);
        badFrame(bytes, UNKNOWN, 0);
        bytes.writeBytes(encoded(Frame.reply(1, OK, Unpooled.EMPTY_BUFFER)));
        opened.channel.writeInbound(bytes);
        require(opened.channel.isActive() && call.seen.equals(List.of(OK.answer())), "the call saw " + call.seen);
    }

    @Example
    void aCallWithManyHeadersIsSent() {
        Opened opened = new Opened();
        opened.offer(offer(5_000, ""));
        OfferHead sent = (OfferHead) written(opened.channel).get(0).payload();
        require(sent.equals(offer(5_000, "")), "the offer was changed");
    }

    @Example
    void aCallThatFitsIntoNoFrameIsNotSentAndTheOthersGoOn() {
        Opened opened = new Opened();
        Call large = opened.offer(offer(10, "v".repeat(MAX_FRAME_BYTES)));
        opened.offer(offer(1, "v"));
        require(large.seen.equals(List.of(Outcome.NOT_RUN)), "the large call saw " + large.seen);
        require(opened.channel.isActive(), "the connection was closed");
        List<Long> streams = written(opened.channel).stream().map(Frame::stream).toList();
        require(streams.equals(List.of(2L)), "sent were calls " + streams);
    }

    /** The side that accepted a connection. */
    private static class Accepted implements PeerServerListener {

        private final List<OfferKey> offered = new ArrayList<>();
        private final List<Long> cancelled = new ArrayList<>();
        private final List<PeerMessage> messages = new ArrayList<>();
        private final EmbeddedChannel channel;

        private Accepted() {
            AcceptedLink link = new AcceptedLink(1, this);
            link.markAuthenticated();
            channel = new EmbeddedChannel(new FrameCodec(MAX_FRAME_BYTES), link);
        }

        @Override
        public OfferedCall callOffered(OfferKey key, OfferHead head, Channel from) {
            offered.add(key);
            return new OfferedCall() {
                @Override
                public void chunkReceived(ByteBuf data) {
                    data.release();
                }

                @Override
                public void bodyEnded() {
                    // Calls of these tests have no body.
                }

                @Override
                public void creditReceived(int bytes) {
                    throw new AssertionError("no credit was sent");
                }

                @Override
                public void cancelled() {
                    cancelled.add(key.stream());
                }

                @Override
                public boolean hasEnded() {
                    return false;
                }
            };
        }

        @Override
        public void connectionClosed(long link) {
            // The channel shows it.
        }

        @Override
        public void messageReceived(PeerMessage message) {
            messages.add(message);
        }

        @Override
        public void connectionRejected() {
            throw new AssertionError("the connection was rejected");
        }
    }

    @Example
    void anOfferThatCanNotBeReadIsRefusedAsNotRunAndTheOthersGoOn() {
        Accepted accepted = new Accepted();
        ByteBuf bytes = Unpooled.buffer();
        bytes.writeBytes(encoded(Frame.of(FrameType.OFFER, 1, offer(1, "v"))));
        badFrame(bytes, OFFER, 2);
        bytes.writeBytes(encoded(Frame.of(FrameType.OFFER, 3, offer(1, "v"))));
        accepted.channel.writeInbound(bytes);
        require(accepted.offered.equals(List.of(new OfferKey(1, 1), new OfferKey(1, 3))), "offers " + accepted.offered);
        List<Frame> replies = written(accepted.channel);
        require(
                replies.size() == 1
                        && replies.get(0).stream() == 2
                        && replies.get(0).payload() instanceof RefusedHead refused
                        && refused.refusal().outcome() == Outcome.NOT_RUN,
                "replies " + replies);
        require(accepted.channel.isActive() && accepted.cancelled.isEmpty(), "cancelled " + accepted.cancelled);
    }

    @Example
    void aFrameOfACallThatCanNotBeReadEndsThisCallOnly() {
        for (int code : List.of(CREDIT, UNKNOWN)) {
            Accepted accepted = new Accepted();
            ByteBuf bytes = Unpooled.buffer();
            bytes.writeBytes(encoded(Frame.of(FrameType.OFFER, 1, offer(1, "v"))));
            bytes.writeBytes(encoded(Frame.of(FrameType.OFFER, 2, offer(1, "v"))));
            badFrame(bytes, code, 1);
            badFrame(bytes, PROBE, 0);
            bytes.writeBytes(
                    encoded(Frame.of(FrameType.POLICY_PULL, 0, new PolicyPull(new NodeId("10.0.0.2:7000"), 1))));
            accepted.channel.writeInbound(bytes);
            require(accepted.channel.isActive(), "the connection was closed after a bad frame of code " + code);
            require(accepted.cancelled.equals(List.of(1L)), "cancelled " + accepted.cancelled);
            require(accepted.messages.size() == 1, "the message behind the bad ones is lost");
        }
    }

    @Example
    void aConnectionIsClosedByABadFrameBeforeItsPeerIsKnown() {
        EmbeddedChannel channel =
                new EmbeddedChannel(new FrameCodec(MAX_FRAME_BYTES), new AcceptedLink(1, new Accepted() {
                    @Override
                    public void connectionRejected() {
                        // This is what the test expects.
                    }
                }));
        ByteBuf bytes = Unpooled.buffer();
        badFrame(bytes, OFFER, 1);
        channel.writeInbound(bytes);
        require(!channel.isActive(), "the connection is open");
    }
}
