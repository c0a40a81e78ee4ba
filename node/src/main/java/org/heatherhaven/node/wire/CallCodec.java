package org.heatherhaven.node.wire;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.util.concurrent.FastThreadLocal;
import org.heatherhaven.core.message.LoanGrant;
import org.heatherhaven.core.message.LoanRequest;
import org.heatherhaven.core.model.AttemptKind;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Header;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.core.buffer.ArrayBufferInput;

/**
 * Encodes and decodes the payloads of calls and loans field by field, without reflection.
 *
 * <p>These frames are the frequent ones. The reflective mapping in {@link WireCodec} costs several times as much per
 * frame, and far more in a process that has just started.
 *
 * <p>The order of the fields is the wire format. Enum constants are written as their ordinals.
 */
final class CallCodec {

    /** Fewest bytes that an encoded header takes: an empty name and an empty value. */
    private static final int MIN_HEADER_BYTES = 2;

    /** Written in place of a root id that equals the request id. */
    private static final String SAME_AS_REQUEST = "";

    private static final Importance[] IMPORTANCES = Importance.values();
    private static final AttemptKind[] ATTEMPT_KINDS = AttemptKind.values();
    private static final Reason[] REASONS = Reason.values();
    private static final Outcome[] OUTCOMES = Outcome.values();
    private static final LeaseId.Kind[] LEASE_KINDS = LeaseId.Kind.values();
    private static final FastThreadLocal<MessageBufferPacker> PACKERS = new FastThreadLocal<>() {
        @Override
        protected MessageBufferPacker initialValue() {
            return MessagePack.newDefaultBufferPacker();
        }
    };

    /** One unpacker per thread, because creating one also creates a character decoder. */
    private static final FastThreadLocal<MessageUnpacker> UNPACKERS = new FastThreadLocal<>() {
        @Override
        protected MessageUnpacker initialValue() {
            return MessagePack.newDefaultUnpacker(new byte[0]);
        }
    };

    private CallCodec() {}

    /** Returns true if payloads of this type are encoded by this class rather than by the reflective mapping. */
    static boolean handles(FrameType type) {
        return switch (type) {
            case OFFER, ANSWER, REPLY, REFUSED, END, LOAN_ASK, LOAN_GRANT -> true;
            default -> false;
        };
    }

    /**
     * Encodes a payload.
     *
     * @param type type of the frame, one that {@link #handles} accepts
     * @param payload payload of the class that belongs to the type
     * @param out buffer to append to
     * @throws IOException if the payload can't be packed
     */
    static void write(FrameType type, Object payload, ByteBuf out) throws IOException {
        MessageBufferPacker packer = PACKERS.get();
        packer.clear();
        switch (type) {
            case OFFER -> offer((OfferHead) payload, packer);
            case ANSWER -> answer((AnswerHead) payload, packer);
            case REPLY -> {
                answer(((ReplyHead) payload).answer(), packer);
                signal(((ReplyHead) payload).signal(), packer);
            }
            case REFUSED -> refused((RefusedHead) payload, packer);
            case END -> end((AnswerEnd) payload, packer);
            case LOAN_ASK -> loanRequest((LoanRequest) payload, packer);
            case LOAN_GRANT -> loanGrant((LoanGrant) payload, packer);
            default -> throw new IllegalArgumentException("no field-by-field form of " + type);
        }
        out.writeBytes(packer.toByteArray());
    }

    /**
     * Decodes a payload.
     *
     * @param type type of the frame, one that {@link #handles} accepts
     * @param in bytes of the payload
     * @return the payload
     * @throws IOException if the bytes can't be unpacked
     */
    static Object read(FrameType type, ByteBuf in) throws IOException {
        int payloadBytes = in.readableBytes();
        MessageUnpacker unpacker = UNPACKERS.get();
        unpacker.reset(new ArrayBufferInput(ByteBufUtil.getBytes(in)));
        return switch (type) {
            case OFFER -> offer(unpacker, payloadBytes);
            case ANSWER -> answer(unpacker, payloadBytes);
            case REPLY -> new ReplyHead(answer(unpacker, payloadBytes), signal(unpacker));
            case REFUSED -> new RefusedHead(refusal(unpacker), signal(unpacker));
            case END -> new AnswerEnd(unpacker.unpackBoolean(), signal(unpacker));
            case LOAN_ASK -> loanRequest(unpacker);
            case LOAN_GRANT -> loanGrant(unpacker);
            default -> throw new IllegalArgumentException("no field-by-field form of " + type);
        };
    }

    private static void offer(OfferHead offer, MessageBufferPacker packer) throws IOException {
        CallHead call = offer.call();
        packer.packString(call.requestId());
        packer.packString(call.rootId().equals(call.requestId()) ? SAME_AS_REQUEST : call.rootId());
        packer.packString(call.host());
        packer.packString(call.method());
        packer.packString(call.path());
        headers(call.headers(), packer);
        packer.packString(call.originService());
        packer.packString(call.service());
        packer.packString(call.route());
        packer.packString(call.team());
        packer.packInt(call.importance().ordinal());
        packer.packInt(call.teamImportance().ordinal());
        packer.packInt(call.depth());
        packer.packLong(call.remainingMillis());
        packer.packLong(call.aimMillis());
        packer.packInt(call.retries());
        packer.packBoolean(call.unrepeatable());
        packer.packInt(call.attemptKind().ordinal());
        packer.packLong(call.policyVersion());
        packer.packBoolean(offer.hasBody());
    }

    private static OfferHead offer(MessageUnpacker unpacker, int payloadBytes) throws IOException {
        String requestId = unpacker.unpackString();
        String rootId = unpacker.unpackString();
        CallHead call = new CallHead(
                requestId,
                rootId.equals(SAME_AS_REQUEST) ? requestId : rootId,
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                headers(unpacker, payloadBytes),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                readConstant(IMPORTANCES, unpacker),
                readConstant(IMPORTANCES, unpacker),
                unpacker.unpackInt(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackInt(),
                unpacker.unpackBoolean(),
                readConstant(ATTEMPT_KINDS, unpacker),
                unpacker.unpackLong());
        return new OfferHead(call, unpacker.unpackBoolean());
    }

    private static <E> E readConstant(E[] constants, MessageUnpacker unpacker) throws IOException {
        int index = unpacker.unpackInt();
        if (index < 0 || index >= constants.length) {
            throw new WireException(WireException.Code.BAD_PAYLOAD, "no enum constant has the ordinal " + index);
        }
        return constants[index];
    }

    private static void headers(List<Header> headers, MessageBufferPacker packer) throws IOException {
        packer.packArrayHeader(headers.size());
        for (Header header : headers) {
            packer.packString(header.name());
            packer.packString(header.value());
        }
    }

    private static List<Header> headers(MessageUnpacker unpacker, int payloadBytes) throws IOException {
        int size = unpacker.unpackArrayHeader();
        if (size > payloadBytes / MIN_HEADER_BYTES) {
            throw new WireException(
                    WireException.Code.BAD_PAYLOAD, size + " headers don't fit into " + payloadBytes + " bytes");
        }
        List<Header> headers = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            headers.add(new Header(unpacker.unpackString(), unpacker.unpackString()));
        }
        return headers;
    }

    private static void answer(AnswerHead answer, MessageBufferPacker packer) throws IOException {
        packer.packInt(answer.status());
        headers(answer.headers(), packer);
    }

    private static AnswerHead answer(MessageUnpacker unpacker, int payloadBytes) throws IOException {
        return new AnswerHead(unpacker.unpackInt(), headers(unpacker, payloadBytes));
    }

    private static void refused(RefusedHead refused, MessageBufferPacker packer) throws IOException {
        Refusal refusal = refused.refusal();
        packer.packInt(refusal.reason().ordinal());
        packer.packInt(refusal.outcome().ordinal());
        packer.packLong(refusal.retryAfter().toMillis());
        packer.packString(refusal.detail());
        signal(refused.signal(), packer);
    }

    private static Refusal refusal(MessageUnpacker unpacker) throws IOException {
        return new Refusal(
                readConstant(REASONS, unpacker),
                readConstant(OUTCOMES, unpacker),
                Duration.ofMillis(unpacker.unpackLong()),
                unpacker.unpackString());
    }

    private static void end(AnswerEnd end, MessageBufferPacker packer) throws IOException {
        packer.packBoolean(end.complete());
        signal(end.signal(), packer);
    }

    private static void signal(Signal signal, MessageBufferPacker packer) throws IOException {
        packer.packInt(signal.admissionThreshold());
        packer.packInt(signal.load());
        packer.packInt(signal.pressure());
        packer.packInt(signal.retriesLeft());
    }

    private static Signal signal(MessageUnpacker unpacker) throws IOException {
        return new Signal(unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackInt());
    }

    private static void lease(LeaseId lease, MessageBufferPacker packer) throws IOException {
        packer.packInt(lease.kind().ordinal());
        packer.packString(lease.name());
        packer.packInt(lease.index());
    }

    private static LeaseId lease(MessageUnpacker unpacker) throws IOException {
        return new LeaseId(readConstant(LEASE_KINDS, unpacker), unpacker.unpackString(), unpacker.unpackInt());
    }

    private static void loanRequest(LoanRequest request, MessageBufferPacker packer) throws IOException {
        packer.packString(request.borrower().node().value());
        packer.packLong(request.borrower().epoch());
        lease(request.share(), packer);
        packer.packLong(request.seq());
        packer.packInt(request.tokensWanted());
        packer.packLong(request.spentBefore());
    }

    private static LoanRequest loanRequest(MessageUnpacker unpacker) throws IOException {
        return new LoanRequest(
                new Owner(new NodeId(unpacker.unpackString()), unpacker.unpackLong()),
                lease(unpacker),
                unpacker.unpackLong(),
                unpacker.unpackInt(),
                unpacker.unpackLong());
    }

    private static void loanGrant(LoanGrant grant, MessageBufferPacker packer) throws IOException {
        lease(grant.share(), packer);
        packer.packLong(grant.seq());
        packer.packInt(grant.tokens());
        packer.packLong(grant.durationMillis());
        packer.packLong(grant.retryAfterMillis());
        packer.packBoolean(grant.held());
        packer.packString(grant.believedHolder().map(NodeId::value).orElse(""));
    }

    private static LoanGrant loanGrant(MessageUnpacker unpacker) throws IOException {
        return new LoanGrant(
                lease(unpacker),
                unpacker.unpackLong(),
                unpacker.unpackInt(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackBoolean(),
                Optional.of(unpacker.unpackString())
                        .filter(node -> !node.isEmpty())
                        .map(NodeId::new));
    }
}
