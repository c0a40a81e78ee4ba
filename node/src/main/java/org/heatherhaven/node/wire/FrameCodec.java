package org.heatherhaven.node.wire;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;

/**
 * Decodes a byte stream into frames and encodes frames into a byte stream.
 *
 * <p>A frame is its length in bytes (4 bytes, not counting themselves), the code of its type (1 byte), the number of
 * its stream (8 bytes) and its payload.
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
        if (frame.type() == FrameType.CHUNK) {
            out.writeBytes(frame.data());
            frame.data().release();
        } else if (frame.type() == FrameType.REPLY) {
            encodeReply(frame, out);
        } else {
            WireCodec.write(frame.type(), frame.payload(), out);
        }
        out.setInt(start, out.writerIndex() - start - LENGTH_BYTES);
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
        FrameType type = FrameType.of(code)
                .orElseThrow(() -> new WireException(WireException.Code.UNKNOWN_TYPE, "unknown frame type " + code));
        ByteBuf payload = in.readRetainedSlice(length - HEADER_BYTES);
        if (type == FrameType.CHUNK) {
            out.add(Frame.chunk(stream, payload));
            return;
        }
        try {
            if (type == FrameType.REPLY) {
                out.add(decodeReply(stream, payload));
                return;
            }
            out.add(Frame.of(type, stream, WireCodec.read(type, payload)));
        } finally {
            payload.release();
        }
    }
}
