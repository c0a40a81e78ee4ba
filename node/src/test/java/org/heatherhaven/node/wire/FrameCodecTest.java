package org.heatherhaven.node.wire;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.heatherhaven.core.message.GossipUpdate;
import org.heatherhaven.core.message.LoanRequest;
import org.heatherhaven.core.message.PolicyPage;
import org.heatherhaven.core.message.Probe;
import org.heatherhaven.core.model.AttemptKind;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Header;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.MemberStatus;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.PolicyPatch;
import org.heatherhaven.core.model.PolicyVersion;
import org.heatherhaven.core.model.Route;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.core.model.Team;
import org.heatherhaven.core.model.Zone;

/**
 * Frames are decoded to what was encoded, and invalid input fails with a {@link WireException} and neither with another
 * exception nor with a large allocation.
 */
class FrameCodecTest {

    private static final int MAX_FRAME = 64 * 1024;

    private static final Member MEMBER =
            new Member(new NodeId("10.0.0.1:7000"), 17, 2, MemberStatus.DRAINING, new Zone("r", "z"), "pricing", 15);

    private static Object roundTrip(FrameType type, Object payload) {
        EmbeddedChannel out = new EmbeddedChannel(new FrameCodec(MAX_FRAME));
        EmbeddedChannel in = new EmbeddedChannel(new FrameCodec(MAX_FRAME));
        out.writeOutbound(Frame.of(type, 5, payload));
        in.writeInbound((ByteBuf) out.readOutbound());
        return ((Frame) in.readInbound()).payload();
    }

    private static void expect(Object expected, Object actual) {
        if (!expected.equals(actual)) {
            throw new AssertionError("expected " + expected + ", got " + actual);
        }
    }

    @Example
    void aProbeIsDecodedAsItWasEncoded() {
        Probe probe = new Probe(MEMBER, 7, new GossipUpdate(List.of(MEMBER), 3, 250));
        expect(probe, roundTrip(FrameType.PROBE, probe));
    }

    @Example
    void aLoanRequestIsDecodedAsItWasEncoded() {
        LoanRequest request =
                new LoanRequest(new Owner(MEMBER.id(), 17), new LeaseId(LeaseId.Kind.SHARE, "banquets", 3), 9, 40, 8);
        expect(request, roundTrip(FrameType.LOAN_ASK, request));
    }

    @Example
    void aPolicyPageIsDecodedAsItWasEncoded() {
        PolicyPatch patch = new PolicyPatch(
                "id",
                4,
                "author",
                "note",
                List.of(new Team("banquets", 12.5, 6, 1)),
                List.of(new Route(
                        "book",
                        "/b",
                        "bookings",
                        Importance.CRITICAL,
                        true,
                        false,
                        new Route.Limits(Duration.ofMillis(1_500), 3))),
                List.of(),
                List.of("gone"),
                List.of(),
                List.of());
        PolicyPage page = new PolicyPage(Optional.empty(), List.of(new PolicyVersion(5, patch)));
        expect(page, roundTrip(FrameType.POLICY_PAGE, page));
    }

    @Example
    void anOfferIsDecodedAsItWasEncoded() {
        CallHead head = new CallHead(
                "id",
                "root",
                "host",
                "POST",
                "/x?y=z",
                List.of(new Header("a", "b")),
                "bookings",
                "pricing",
                "quote",
                "banquets",
                Importance.HIGH,
                Importance.HIGH,
                3,
                900,
                300,
                2,
                false,
                AttemptKind.FIRST,
                12);
        expect(new OfferHead(head, true), roundTrip(FrameType.OFFER, new OfferHead(head, true)));
    }

    @Example
    void aReplyIsDecodedWithItsBodyAndTheEncoderReleasesIt() {
        EmbeddedChannel out = new EmbeddedChannel(new FrameCodec(MAX_FRAME));
        EmbeddedChannel in = new EmbeddedChannel(new FrameCodec(MAX_FRAME));
        ReplyHead head = new ReplyHead(new AnswerHead(200, List.of(new Header("a", "b"))), new Signal(64, 700, 12, 1));
        ByteBuf body = Unpooled.copiedBuffer("the whole answer", StandardCharsets.US_ASCII);
        out.writeOutbound(Frame.reply(5, head, body));
        in.writeInbound((ByteBuf) out.readOutbound());
        Frame frame = in.readInbound();
        expect(head, frame.payload());
        expect("the whole answer", frame.data().toString(StandardCharsets.US_ASCII));
        frame.data().release();
        expect(0, body.refCnt());
    }

    @Example
    void aReplyWhoseHeadIsLongerThanItsFrameIsRejected() {
        EmbeddedChannel in = new EmbeddedChannel(new FrameCodec(MAX_FRAME));
        ByteBuf frame = Unpooled.buffer();
        frame.writeInt(9 + Integer.BYTES)
                .writeByte(FrameType.REPLY.code())
                .writeLong(1)
                .writeInt(1_000);
        try {
            in.writeInbound(frame);
            throw new AssertionError("accepted");
        } catch (DecoderException e) {
            requireWireException(e);
        }
    }

    @Property(tries = 2_000, seed = "20261204")
    void randomBytesFailWithAWireExceptionOnly(@ForAll @Size(max = 300) byte[] randomBytes) {
        EmbeddedChannel in = new EmbeddedChannel(new FrameCodec(MAX_FRAME));
        try {
            in.writeInbound(Unpooled.wrappedBuffer(randomBytes));
        } catch (DecoderException e) {
            requireWireException(e);
        }
    }

    @Property(tries = 2_000, seed = "20261204")
    void aRandomPayloadFailsWithAWireExceptionOnly(
            @ForAll @IntRange(max = 127) int type, @ForAll @Size(min = 1, max = 200) byte[] randomBytes) {
        EmbeddedChannel in = new EmbeddedChannel(new FrameCodec(MAX_FRAME));
        ByteBuf frame = Unpooled.buffer();
        frame.writeInt(9 + randomBytes.length).writeByte(type).writeLong(1).writeBytes(randomBytes);
        try {
            in.writeInbound(frame);
        } catch (DecoderException e) {
            requireWireException(e);
        }
    }

    private static void requireWireException(DecoderException e) {
        if (!(e.getCause() instanceof WireException)) {
            throw new AssertionError("the cause is not a WireException", e);
        }
    }

    @Example
    void aTooLongFrameIsRejectedBeforeItsPayloadArrives() {
        EmbeddedChannel in = new EmbeddedChannel(new FrameCodec(MAX_FRAME));
        try {
            in.writeInbound(Unpooled.buffer().writeInt(MAX_FRAME + 1));
            throw new AssertionError("accepted");
        } catch (DecoderException e) {
            requireWireException(e);
        }
    }

    @Example
    void aPayloadThatDeclaresAHugeLengthIsRejectedWithoutAllocatingIt() {
        EmbeddedChannel in = new EmbeddedChannel(new FrameCodec(MAX_FRAME));
        byte[] hugeBinary = {(byte) 0x93, (byte) 0xc6, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xf0, 0, 0, 0};
        ByteBuf frame = Unpooled.buffer();
        frame.writeInt(9 + hugeBinary.length).writeByte(1).writeLong(0).writeBytes(hugeBinary);
        try {
            in.writeInbound(frame);
            throw new AssertionError("accepted");
        } catch (DecoderException e) {
            requireWireException(e);
        }
    }
}
