package org.heatherhaven.node.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.EncoderException;

/**
 * Splits control messages that don't fit into one frame, for example a policy with many keys, and puts them together
 * again.
 *
 * <p>Each part starts with the code of the message's type and a byte that is 1 in the last part (1 byte each). The parts
 * of a message are sent one after another, in order. This handler stands behind the handshake, so that only
 * authenticated peers have parts stored.
 */
public final class MessageParts extends ChannelDuplexHandler {

    /** Longest message that is put together; a policy takes a few times the bytes of the object that it was read from. */
    static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

    private static final int PART_HEADER_BYTES = 2;

    /** Bytes of a frame that are not raw bytes of a part. */
    private static final int FRAME_OVERHEAD_BYTES = 1 + Long.BYTES + PART_HEADER_BYTES;

    private static final byte LAST = 1;
    private static final byte MORE = 0;

    private final int maxPartBytes;

    /** Bytes of the message that is being received, empty between two messages. */
    private ByteBuf received;

    /**
     * Creates a handler for one connection.
     *
     * @param maxFrameBytes largest frame of the connection, bytes without the length field
     */
    public MessageParts(int maxFrameBytes) {
        this.maxPartBytes = maxFrameBytes - FRAME_OVERHEAD_BYTES;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        received = ctx.alloc().buffer(0);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        received.release();
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (!(message instanceof Frame frame) || !frame.type().canBeSplit()) {
            ctx.write(message, promise);
            return;
        }
        ByteBuf payload = ctx.alloc().buffer();
        try {
            WireCodec.write(frame.type(), frame.payload(), payload);
            if (payload.readableBytes() <= maxPartBytes) {
                ctx.write(frame, promise);
                return;
            }
            if (payload.readableBytes() > MAX_MESSAGE_BYTES) {
                throw new WireException(
                        WireException.Code.BAD_PAYLOAD,
                        "a message of type " + frame.type() + " has " + payload.readableBytes() + " bytes, more than "
                                + MAX_MESSAGE_BYTES);
            }
            writeParts(ctx, frame, payload, promise);
        } catch (WireException e) {
            promise.setFailure(new EncoderException(e));
        } finally {
            payload.release();
        }
    }

    private void writeParts(ChannelHandlerContext ctx, Frame frame, ByteBuf payload, ChannelPromise promise) {
        while (payload.isReadable()) {
            int length = Math.min(maxPartBytes, payload.readableBytes());
            boolean last = length == payload.readableBytes();
            ByteBuf part = ctx.alloc().buffer(PART_HEADER_BYTES + length);
            part.writeByte(frame.type().code()).writeByte(last ? LAST : MORE).writeBytes(payload, length);
            // A failure of an earlier part closes the connection, so the last part fails, too.
            ctx.write(Frame.part(frame.stream(), part), last ? promise : ctx.newPromise());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (!(message instanceof Frame frame) || frame.type() != FrameType.PART) {
            ctx.fireChannelRead(message);
            return;
        }
        ByteBuf part = frame.data();
        try {
            receive(ctx, frame.stream(), part);
        } finally {
            part.release();
        }
    }

    private void receive(ChannelHandlerContext ctx, long stream, ByteBuf part) {
        if (part.readableBytes() < PART_HEADER_BYTES
                || received.readableBytes() + part.readableBytes() > MAX_MESSAGE_BYTES + PART_HEADER_BYTES) {
            throw new WireException(WireException.Code.BAD_PAYLOAD, "a part of a message is too short or too long");
        }
        int code = part.readByte();
        boolean last = part.readByte() == LAST;
        received.writeBytes(part);
        if (!last) {
            return;
        }
        ByteBuf whole = received;
        received = ctx.alloc().buffer(0);
        try {
            FrameType type = FrameType.of(code)
                    .filter(FrameType::canBeSplit)
                    .orElseThrow(() -> new WireException(
                            WireException.Code.UNKNOWN_TYPE, "no messages of type " + code + " come in parts"));
            ctx.fireChannelRead(Frame.of(type, stream, WireCodec.read(type, whole)));
        } catch (WireException e) {
            ctx.fireExceptionCaught(new DecoderException(new BadFrameException(code, stream, e)));
        } finally {
            whole.release();
        }
    }
}
