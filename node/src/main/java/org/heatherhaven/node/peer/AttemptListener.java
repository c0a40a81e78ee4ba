package org.heatherhaven.node.peer;

import io.netty.buffer.ByteBuf;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.node.wire.AnswerEnd;
import org.heatherhaven.node.wire.AnswerHead;
import org.heatherhaven.node.wire.RefusedHead;

/**
 * Receives the progress of a call offered to a peer.
 *
 * <p>All methods are called on the event loop of the connection, except that {@link PeerLinks#offer} itself calls
 * {@link #attemptLost} for a call that it does not send.
 */
public interface AttemptListener {

    /**
     * Called when the target has started to answer.
     *
     * @param head status and headers of the answer
     */
    void headReceived(AnswerHead head);

    /**
     * Called for every piece of the answer's body.
     *
     * @param data bytes of the body; the listener takes ownership
     */
    void chunkReceived(ByteBuf data);

    /**
     * Called when an answer that was sent in pieces has ended.
     *
     * @param end whether the answer is complete, and the signal of the target's node
     */
    void answerEnded(AnswerEnd end);

    /**
     * Called when a complete answer arrived in one frame; no other method is called for the attempt then.
     *
     * @param head status and headers of the answer
     * @param data body of the answer; the listener takes ownership
     * @param signal overload signal of the target's node
     */
    void answerReceived(AnswerHead head, ByteBuf data, Signal signal);

    /**
     * Called when the target's node has refused the call.
     *
     * @param refused the refusal and the signal of the target's node
     */
    void refused(RefusedHead refused);

    /**
     * Called when the peer accepts more of the request body.
     *
     * @param bytes number of bytes that may be sent in addition
     */
    void creditReceived(int bytes);

    /**
     * Called when the attempt ends without an answer because its connection failed or could not be used.
     *
     * @param outcome {@link Outcome#NOT_RUN} if the call was never sent, else {@link Outcome#UNKNOWN}
     */
    void attemptLost(Outcome outcome);
}
