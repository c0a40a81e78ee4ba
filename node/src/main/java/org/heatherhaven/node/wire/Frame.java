package org.heatherhaven.node.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * One message on a connection between nodes.
 *
 * @param type type of the frame
 * @param stream number of the call on its connection, 0 for frames that belong to no call
 * @param payload decoded payload, or an empty string if the type has none
 * @param data raw bytes of an HTTP body in {@link FrameType#CHUNK} and {@link FrameType#REPLY} frames, of a message in
 *     {@link FrameType#PART} frames, else empty; the consumer of the frame releases them
 */
public record Frame(FrameType type, long stream, Object payload, ByteBuf data) {

    /**
     * Creates a frame with a payload and no raw bytes.
     *
     * @param type type of the frame
     * @param stream number of the call, 0 for frames that belong to no call
     * @param payload payload of the class that belongs to the type
     * @return the frame
     */
    public static Frame of(FrameType type, long stream, Object payload) {
        return new Frame(type, stream, payload, Unpooled.EMPTY_BUFFER);
    }

    /**
     * Creates a frame that consists of its type and stream number only.
     *
     * @param type type of the frame
     * @param stream number of the call, 0 for frames that belong to no call
     * @return the frame
     */
    public static Frame withoutPayload(FrameType type, long stream) {
        return new Frame(type, stream, "", Unpooled.EMPTY_BUFFER);
    }

    /**
     * Creates a frame with a piece of an HTTP body.
     *
     * @param stream number of the call
     * @param data bytes of the body; the frame takes ownership
     * @return the frame
     */
    public static Frame chunk(long stream, ByteBuf data) {
        return new Frame(FrameType.CHUNK, stream, "", data);
    }

    /**
     * Creates a frame with a part of a control message.
     *
     * @param stream number of the message's stream
     * @param data bytes of the part; the frame takes ownership
     * @return the frame
     */
    static Frame part(long stream, ByteBuf data) {
        return new Frame(FrameType.PART, stream, "", data);
    }

    /**
     * Creates a frame with a complete answer.
     *
     * @param stream number of the call
     * @param head status and headers of the answer, and the signal of the target's node
     * @param data body of the answer; the frame takes ownership
     * @return the frame
     */
    public static Frame reply(long stream, ReplyHead head, ByteBuf data) {
        return new Frame(FrameType.REPLY, stream, head, data);
    }
}
