package org.heatherhaven.node.peer;

import io.netty.buffer.ByteBuf;

/** The sending side of a call offered to a peer; safe to use from any thread. */
public interface AttemptStream {

    /**
     * Sends a piece of the request's body.
     *
     * @param data the bytes, owned by the stream
     */
    void sendChunk(ByteBuf data);

    /** Ends the request's body. */
    void endBody();

    /**
     * Lets the peer send more of the answer.
     *
     * @param bytes number of bytes
     */
    void grantCredit(int bytes);

    /** Tells the peer that the answer is no longer wanted; nothing more is heard of the call. */
    void cancel();
}
