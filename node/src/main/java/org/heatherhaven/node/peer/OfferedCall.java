package org.heatherhaven.node.peer;

import io.netty.buffer.ByteBuf;

/** Receives the frames of a call offered by a peer. Used on the event loop of the connection only. */
public interface OfferedCall {

    /**
     * Handles a piece of the request body.
     *
     * @param data bytes of the body; the call takes ownership
     */
    void chunkReceived(ByteBuf data);

    /** Handles the end of the request body. */
    void bodyEnded();

    /**
     * Handles credit for the answer's body.
     *
     * @param bytes number of bytes that may be sent in addition
     */
    void creditReceived(int bytes);

    /** Handles the cancellation of the call by the peer. */
    void cancelled();

    /**
     * Returns whether the call has ended.
     *
     * @return true once its last frame was written
     */
    boolean hasEnded();
}
