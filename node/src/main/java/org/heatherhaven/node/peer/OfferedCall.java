package org.heatherhaven.node.peer;

import io.netty.buffer.ByteBuf;

/** The receiving side of a call offered by a peer; used on the connection's event loop. */
public interface OfferedCall {

    /**
     * A piece of the request's body arrived.
     *
     * @param data the bytes, owned by the call
     */
    void chunkReceived(ByteBuf data);

    /** The request's body is complete. */
    void bodyEnded();

    /**
     * More of the answer may be sent.
     *
     * @param bytes number of bytes
     */
    void creditReceived(int bytes);

    /** The peer no longer wants the answer. */
    void cancelled();

    /**
     * Tells whether the call is over.
     *
     * @return true once its last frame was written
     */
    boolean isOver();
}
