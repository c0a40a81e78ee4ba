package org.heatherhaven.node.target;

import java.util.List;

import io.netty.buffer.ByteBuf;
import org.heatherhaven.core.event.TrafficEvent.TargetResult;
import org.heatherhaven.core.model.Header;

/** Hears what the target makes of one call; called on the event loop of the target's connections. */
public interface AnswerListener {

    /**
     * The head of the answer arrived.
     *
     * @param status HTTP status
     * @param headers headers that travel on
     */
    void headReceived(int status, List<Header> headers);

    /**
     * A piece of the answer's body arrived.
     *
     * @param data the bytes, owned by the listener
     */
    void bodyReceived(ByteBuf data);

    /**
     * The target's connection took a piece of the request's body.
     *
     * @param bytes size of the piece
     */
    void requestBodyWritten(int bytes);

    /**
     * The call is over; nothing more is heard of it.
     *
     * @param result how it ended
     */
    void ended(TargetResult result);
}
