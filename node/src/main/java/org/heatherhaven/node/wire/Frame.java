package org.heatherhaven.node.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * A frame as it travels.
 *
 * @param type type of the frame
 * @param stream number of the call, 0 for control messages
 * @param payload decoded payload, or nothing
 * @param data raw bytes of a body, in chunks and replies; released by whoever consumes the frame
 */
public record Frame(FrameType type, long stream, Object payload, ByteBuf data) {

    /**
     * A frame with a decoded payload.
     *
     * @param type type of the frame
     * @param stream number of the call
     * @param payload payload
     * @return the frame
     */
    public static Frame of(FrameType type, long stream, Object body) {
        return new Frame(type, stream, body, Unpooled.EMPTY_BUFFER);
    }

    /**
     * A frame without payload.
     *
     * @param type type of the frame
     * @param stream number of the call
     * @return the frame
     */
    public static Frame withoutPayload(FrameType type, long stream) {
        return new Frame(type, stream, "", Unpooled.EMPTY_BUFFER);
    }

    /**
     * A piece of a body.
     *
     * @param stream number of the call
     * @param data the bytes, owned by the frame
     * @return the frame
     */
    public static Frame chunk(long stream, ByteBuf data) {
        return new Frame(FrameType.CHUNK, stream, "", data);
    }

    /**
     * A whole answer.
     *
     * @param stream number of the call
     * @param head what stands before the body
     * @param data the body, owned by the frame
     * @return the frame
     */
    public static Frame reply(long stream, ReplyHead head, ByteBuf data) {
        return new Frame(FrameType.REPLY, stream, head, data);
    }
}
