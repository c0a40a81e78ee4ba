package org.heatherhaven.node.peer;

import io.netty.channel.Channel;
import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.message.PeerMessage;
import org.heatherhaven.node.wire.OfferHead;

/** Receives what peers send over the connections that they opened. Called on the event loop of the connection. */
public interface PeerServerListener {

    /**
     * Called when a peer offers a call.
     *
     * @param key identifies the offer by its connection and stream
     * @param head head of the call
     * @param channel connection on which to answer
     * @return receiver of the further frames of the call
     */
    OfferedCall callOffered(OfferKey key, OfferHead head, Channel channel);

    /**
     * Called when an authenticated connection was closed.
     *
     * @param link number of the connection
     */
    void connectionClosed(long link);

    /**
     * Called when a peer sent a control message.
     *
     * @param message the message
     */
    void messageReceived(PeerMessage message);

    /**
     * Called when a connection is closed because its peer failed to authenticate, violated the protocol or caused another
     * error.
     */
    void connectionRejected();
}
