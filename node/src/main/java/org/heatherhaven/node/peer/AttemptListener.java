package org.heatherhaven.node.peer;

import io.netty.buffer.ByteBuf;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.node.wire.AnswerEnd;
import org.heatherhaven.node.wire.AnswerHead;
import org.heatherhaven.node.wire.RefusedHead;

/** Hears how an attempt goes; called on the connection's event loop. */
public interface AttemptListener {

    /**
     * The target answers.
     *
     * @param head head of the answer
     */
    void headReceived(AnswerHead head);

    /**
     * A piece of the answer arrived.
     *
     * @param data the bytes, owned by the listener
     */
    void chunkReceived(ByteBuf data);

    /**
     * The answer is over.
     *
     * @param end how it ended
     */
    void answerEnded(AnswerEnd end);

    /**
     * The target answered, and its answer came whole.
     *
     * @param head head of the answer
     * @param data its body, owned by the listener
     * @param signal news of the target's node
     */
    void answerReceived(AnswerHead head, ByteBuf data, Signal signal);

    /**
     * The target's node refused the call.
     *
     * @param refused the refusal
     */
    void refused(RefusedHead refused);

    /**
     * More of the request's body may be sent.
     *
     * @param bytes number of bytes
     */
    void creditReceived(int bytes);

    /**
     * The connection is gone.
     *
     * @param outcome {@link Outcome#NOT_RUN} if nothing was ever sent on it
     */
    void attemptLost(Outcome outcome);
}
