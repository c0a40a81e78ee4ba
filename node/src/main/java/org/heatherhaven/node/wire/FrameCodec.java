package org.heatherhaven.node.wire;

import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.DecoderException;

/**
 * Decodes a byte stream into frames and encodes frames into a byte stream.
 *
 * <p>A frame is its length in bytes (4 bytes, not counting themselves), the code of its type (1 byte), the number of
 * its stream (8 bytes) and its payload.
 *
 * <p>A payload that can't be decoded is reported as a {@link BadFrameException}, and decoding goes on with the next frame.
 * A frame that is longer than the limit is not encoded: its write fails and nothing of it is sent. {@link MessageParts}
 * splits control messages beforehand.
 */
public final class FrameCodec extends ByteToMessageCodec<Frame> {

    private static final int LENGTH_BYTES = Integer.BYTES;
    private static final int HEADER_BYTES = 1 + Long.BYTES;

    /** The payload of a reply starts with the length of its head, because raw bytes of the body follow the head. */
    private static final int REPLY_HEAD_LENGTH_BYTES = Integer.BYTES;

    private final int maxFrameBytes;

    /**
     * Creates a codec for one connection.
     *
     * @param maxFrameBytes largest frame accepted, bytes without the length field
     */
    public FrameCodec(int maxFrameBytes) {
        super(Frame.class);
        this.maxFrameBytes = maxFrameBytes;
    }

    @Override
    protected void encode(ChannelHandlerContext ctx, Frame frame, ByteBuf out) {
        int start = out.writerIndex();
        out.writeInt(0);
        out.writeByte(frame.type().code());
        out.writeLong(frame.stream());
        if (frame.type().isRaw()) {
            out.writeBytes(frame.data());
            frame.data().release();
        } else if (frame.type() == FrameType.REPLY) {
            encodeReply(frame, out);
        } else {
            WireCodec.write(frame.type(), frame.payload(), out);
        }
        int length = out.writerIndex() - start - LENGTH_BYTES;
        if (length > maxFrameBytes) {
            // The peer would close the connection, which carries other calls. Nothing of this frame is written.
            throw new WireException(
                    WireException.Code.BAD_PAYLOAD,
                    "a frame of type " + frame.type() + " has " + length + " bytes, more than " + maxFrameBytes);
        }
        out.setInt(start, length);
    }

    private static void encodeReply(Frame frame, ByteBuf out) {
        int start = out.writerIndex();
        out.writeInt(0);
        WireCodec.write(frame.type(), frame.payload(), out);
        out.setInt(start, out.writerIndex() - start - REPLY_HEAD_LENGTH_BYTES);
        out.writeBytes(frame.data());
        frame.data().release();
    }

    private static Frame decodeReply(long stream, ByteBuf payload) {
        int headBytes = payload.readableBytes() < REPLY_HEAD_LENGTH_BYTES ? -1 : payload.readInt();
        if (headBytes < 0 || headBytes > payload.readableBytes()) {
            throw new WireException(
                    WireException.Code.BAD_PAYLOAD, "invalid length of a reply's head: " + headBytes + " bytes");
        }
        ReplyHead head = (ReplyHead) WireCodec.read(FrameType.REPLY, payload.readSlice(headBytes));
        return Frame.reply(stream, head, payload.readRetainedSlice(payload.readableBytes()));
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (in.readableBytes() < LENGTH_BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex());
        if (length < HEADER_BYTES || length > maxFrameBytes) {
            throw new WireException(WireException.Code.BAD_PAYLOAD, "invalid frame length: " + length + " bytes");
        }
        if (in.readableBytes() < LENGTH_BYTES + length) {
            return;
        }
        in.skipBytes(LENGTH_BYTES);
        int code = in.readByte();
        long stream = in.readLong();
        ByteBuf payload = in.readRetainedSlice(length - HEADER_BYTES);
        Optional<FrameType> raw = FrameType.of(code).filter(FrameType::isRaw);
        if (raw.isPresent()) {
            out.add(new Frame(raw.get(), stream, "", payload));
            return;
        }
        try {
            out.add(decodePayload(code, stream, payload));
        } catch (WireException e) {
            // The frame's length is known, so the frames behind it can still be read.
            ctx.fireExceptionCaught(new DecoderException(new BadFrameException(code, stream, e)));
        } finally {
            payload.release();
        }
    }

    private static Frame decodePayload(int code, long stream, ByteBuf payload) {
        FrameType type = FrameType.of(code)
                .orElseThrow(() -> new WireException(WireException.Code.UNKNOWN_TYPE, "unknown frame type " + code));
        return type == FrameType.REPLY
                ? decodeReply(stream, payload)
                : Frame.of(type, stream, WireCodec.read(type, payload));
    }
}
