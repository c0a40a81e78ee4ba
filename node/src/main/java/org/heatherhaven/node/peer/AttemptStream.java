package org.heatherhaven.node.peer;

import io.netty.buffer.ByteBuf;

/** Sends the frames of a call offered to a peer. Implementations may be used from any thread. */
public interface AttemptStream {

    /**
     * Sends a piece of the request body.
     *
     * @param data bytes of the body; the stream takes ownership
     */
    void sendChunk(ByteBuf data);

    /** Signals the end of the request body. */
    void endBody();

    /**
     * Lets the peer send more of the answer's body.
     *
     * @param bytes number of bytes that the peer may send in addition
     */
    void grantCredit(int bytes);

    /** Cancels the call at the peer, which still tells the listener how the call has ended. */
    void withdraw();

    /** Cancels the call at the peer. The listener of the call is not called any more once this has taken effect. */
    void cancel();
}
