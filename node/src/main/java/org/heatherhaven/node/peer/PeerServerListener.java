package org.heatherhaven.node.peer;

import io.netty.channel.Channel;
import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.message.PeerMessage;
import org.heatherhaven.node.wire.OfferHead;

/** Takes what peers send; called on the connection's event loop. */
public interface PeerServerListener {

    /**
     * A peer offers a call.
     *
     * @param key names the offer
     * @param head the call
     * @param channel the connection
     * @return the receiving side of the call
     */
    OfferedCall callOffered(OfferKey key, OfferHead head, Channel channel);

    /**
     * A connection was closed.
     *
     * @param link number of the connection
     */
    void connectionClosed(long link);

    /**
     * A peer sent a control message.
     *
     * @param message the message
     */
    void messageReceived(PeerMessage message);

    /** A peer was turned away or broke the protocol. */
    void connectionRejected();
}
