package org.heatherhaven.node.target;

import java.util.List;

import io.netty.buffer.ByteBuf;
import org.heatherhaven.core.event.TrafficEvent.TargetResult;
import org.heatherhaven.core.model.Header;

/** Receives the target's answer to one call; its methods run on the event loop of the target's connections. */
public interface AnswerListener {

    /**
     * The head of the answer arrived.
     *
     * @param status HTTP status code
     * @param headers headers to pass on to the caller
     */
    void headReceived(int status, List<Header> headers);

    /**
     * A piece of the answer's body arrived.
     *
     * @param data the bytes, which the listener must release
     */
    void bodyReceived(ByteBuf data);

    /**
     * A piece of the request's body was written to the target's connection.
     *
     * @param bytes size of the piece in bytes
     */
    void requestBodyWritten(int bytes);

    /**
     * The call ended; no other method is called afterwards.
     *
     * @param result how the call ended
     */
    void ended(TargetResult result);
}
