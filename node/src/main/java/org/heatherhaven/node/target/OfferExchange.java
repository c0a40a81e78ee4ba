package org.heatherhaven.node.target;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.EncoderException;
import io.netty.util.concurrent.Future;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.event.TrafficEvent;
import org.heatherhaven.core.event.TrafficEvent.TargetResult;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Header;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.node.EventLoops;
import org.heatherhaven.node.control.Mailbox;
import org.heatherhaven.node.peer.FlowControl;
import org.heatherhaven.node.peer.OfferedCall;
import org.heatherhaven.node.wire.AnswerEnd;
import org.heatherhaven.node.wire.AnswerHead;
import org.heatherhaven.node.wire.Frame;
import org.heatherhaven.node.wire.FrameType;
import org.heatherhaven.node.wire.OfferHead;
import org.heatherhaven.node.wire.RefusedHead;
import org.heatherhaven.node.wire.ReplyHead;

/**
 * One offered call: passes the request from a peer's connection to the target and the answer back.
 *
 * <p>Its fields are accessed on the event loop of the peer's connection only.
 */
final class OfferExchange implements OfferedCall {

    /**
     * Largest answer that is buffered until it is complete. Nothing of it has reached the peer if it breaks off, so the
     * call can still be refused and tried again.
     */
    private static final int MAX_BUFFERED_ANSWER_BYTES = 64 * 1024;

    private final OfferKey key;
    private final CallHead head;
    private final boolean hasBody;
    private final Channel channel;
    private final Mailbox<Event> mailbox;
    private final Runnable deregister;
    private final Deque<ByteBuf> unsentAnswer = new ArrayDeque<>();
    private final Deque<ByteBuf> unsentRequestBody = new ArrayDeque<>();

    /** Bytes of the answer's body that may be sent to the peer before it gives more credit. */
    private int answerWindow = FlowControl.BODY_WINDOW_BYTES;

    /** Bytes of the answer's body received from the target while its head was buffered. */
    private int bufferedAnswerBytes;

    private Optional<AnswerHead> bufferedHead = Optional.empty();
    private boolean headSent;
    private boolean bodyEnded;

    /** True once the peer has cancelled the call; it then ignores all further frames of it. */
    private boolean cancelled;

    /** True once the call shall not run any more. */
    private boolean aborted;

    private boolean ended;
    private Optional<AnswerEnd> answerEnd = Optional.empty();
    private Optional<TargetExchange> exchange = Optional.empty();

    /**
     * Creates the exchange; nothing is sent to the target before {@link #run}.
     *
     * @param key identifies the offer
     * @param offer head of the call
     * @param channel the peer's connection
     * @param mailbox receives the events of the call
     * @param deregister removes the exchange from the set of open ones; runs when the last frame is sent
     */
    OfferExchange(OfferKey key, OfferHead offer, Channel channel, Mailbox<Event> mailbox, Runnable deregister) {
        this.key = key;
        this.head = offer.call();
        this.hasBody = offer.hasBody();
        this.channel = channel;
        this.mailbox = mailbox;
        this.deregister = deregister;
    }

    private void onLoop(Runnable action) {
        EventLoops.run(channel.eventLoop(), action);
    }

    @Override
    public void chunkReceived(ByteBuf data) {
        if (!hasBody || ended) {
            data.release();
            return;
        }
        if (exchange.isPresent()) {
            exchange.get().addBody(data);
        } else {
            unsentRequestBody.add(data);
        }
    }

    @Override
    public void bodyEnded() {
        bodyEnded = true;
        exchange.ifPresent(TargetExchange::endBody);
    }

    @Override
    public void creditReceived(int bytes) {
        answerWindow += bytes;
        flush();
    }

    @Override
    public void cancelled() {
        cancelled = true;
        if (answerEnd.isPresent()) {
            // The call at the target has ended already, and the peer gives no more credit for the rest of the answer.
            finishAnswer(answerEnd.get());
            return;
        }
        mailbox.put(new TrafficEvent.OfferCancelled(key));
    }

    @Override
    public boolean hasEnded() {
        return ended;
    }

    /**
     * Sends the call to the target; called by the control thread.
     *
     * @param effect target and time limit
     * @param connections the target's connections
     */
    void run(Effect.RunOffer effect, TargetConnections connections) {
        onLoop(() -> {
            if (aborted || !channel.isActive()) {
                // The peer no longer waits for the answer, or its connection is closed: the call is not run.
                mailbox.put(new TrafficEvent.TargetEnded(key, TargetResult.NOT_SENT));
                return;
            }
            TargetExchange sent = connections.send(head, hasBody, effect, new AnswerForwarder());
            exchange = Optional.of(sent);
            unsentRequestBody.forEach(sent::addBody);
            unsentRequestBody.clear();
            if (bodyEnded) {
                sent.endBody();
            }
        });
    }

    /**
     * Cancels the call at the target; called by the control thread. An effect that is run on the event loop can overtake
     * {@link #run}, which is queued there if it was called on another thread.
     */
    void abort() {
        onLoop(() -> {
            aborted = true;
            exchange.ifPresent(TargetExchange::abort);
        });
    }

    /**
     * Refuses the call, or marks its answer as incomplete if the head has been sent; called by the control thread.
     *
     * @param effect refusal and signal for the peer
     */
    void refuse(Effect.RefuseOffer effect) {
        onLoop(() -> {
            if (headSent) {
                // A refusal can't follow the head of an answer.
                finishAnswer(new AnswerEnd(false, effect.signal()));
                return;
            }
            close(Frame.of(FrameType.REFUSED, key.stream(), new RefusedHead(effect.refusal(), effect.signal())));
        });
    }

    /**
     * Ends the answer; called by the control thread.
     *
     * @param complete true if the whole answer was received from the target
     * @param signal overload signal for the peer
     */
    void finish(boolean complete, Signal signal) {
        onLoop(() -> finishAnswer(new AnswerEnd(complete, signal)));
    }

    private void finishAnswer(AnswerEnd end) {
        AnswerEnd last = cancelled ? new AnswerEnd(false, end.signal()) : end;
        if (last.complete() && bufferedHead.isPresent()) {
            sendCompleteAnswer(bufferedHead.get(), last.signal());
            return;
        }
        if (!last.complete()) {
            bufferedHead = Optional.empty();
            unsentAnswer.forEach(ByteBuf::release);
            unsentAnswer.clear();
        }
        answerEnd = Optional.of(last);
        flush();
    }

    /** Sends an answer that was buffered until its end in a single frame. */
    private void sendCompleteAnswer(AnswerHead answer, Signal signal) {
        bufferedHead = Optional.empty();
        headSent = true;
        ByteBuf body = Unpooled.wrappedBuffer(unsentAnswer.toArray(ByteBuf[]::new));
        unsentAnswer.clear();
        close(Frame.reply(key.stream(), new ReplyHead(answer, signal), body));
    }

    /** Stops buffering: sends the head, so that the body can follow. */
    private void sendBufferedHead() {
        bufferedHead.ifPresent(answer -> {
            bufferedHead = Optional.empty();
            headSent = true;
            write(Frame.of(FrameType.ANSWER, key.stream(), answer));
        });
    }

    /**
     * Sends as much of the answer's body as the peer's window allows, then the end if it is known. Reading from the
     * target is paused while a piece of the body waits for the window.
     */
    private void flush() {
        if (ended || bufferedHead.isPresent()) {
            return;
        }
        while (!ended && !unsentAnswer.isEmpty() && answerWindow > 0) {
            ByteBuf data = unsentAnswer.poll();
            if (data.readableBytes() > answerWindow) {
                ByteBuf piece = data.readRetainedSlice(answerWindow);
                answerWindow = 0;
                write(Frame.chunk(key.stream(), piece));
                unsentAnswer.addFirst(data);
                break;
            }
            answerWindow -= data.readableBytes();
            write(Frame.chunk(key.stream(), data));
        }
        if (ended) {
            return;
        }
        exchange.ifPresent(sent -> sent.setReading(unsentAnswer.isEmpty()));
        if (unsentAnswer.isEmpty() && answerEnd.isPresent()) {
            close(Frame.of(FrameType.END, key.stream(), answerEnd.get()));
        } else {
            channel.flush();
        }
    }

    private void write(Frame frame) {
        channel.write(frame).addListener(this::written);
    }

    /**
     * Handles the end of a write. If the frame could not be encoded, nothing of it was sent, and the peer is told that the
     * call has failed; any other failure closes the connection, as the answer would otherwise continue with a gap.
     */
    private void written(Future<?> done) {
        if (done.isSuccess()) {
            return;
        }
        if (!(done.cause() instanceof EncoderException)) {
            channel.close();
            return;
        }
        Refusal refusal = Refusal.unknown(Reason.TARGET_FAILED, "the answer does not fit into a frame between nodes");
        RefusedHead refused = new RefusedHead(refusal, Signal.withoutOverload(head.retries()));
        release();
        channel.writeAndFlush(Frame.of(FrameType.REFUSED, key.stream(), refused))
                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        exchange.ifPresent(TargetExchange::abort);
    }

    /** Sends the last frame of the call and releases everything that was buffered. */
    private void close(Frame last) {
        release();
        channel.writeAndFlush(last).addListener(this::written);
    }

    /** Ends the call at this node and releases everything that was buffered. */
    private void release() {
        ended = true;
        deregister.run();
        unsentAnswer.forEach(ByteBuf::release);
        unsentAnswer.clear();
        unsentRequestBody.forEach(ByteBuf::release);
        unsentRequestBody.clear();
    }

    /** Passes what the target sends to the event loop of the peer's connection. */
    private final class AnswerForwarder implements AnswerListener {

        @Override
        public void headReceived(int status, List<Header> headers) {
            onLoop(() -> bufferedHead = Optional.of(new AnswerHead(status, headers)));
        }

        @Override
        public void bodyReceived(ByteBuf data) {
            onLoop(() -> {
                if (ended) {
                    data.release();
                    return;
                }
                unsentAnswer.add(data);
                if (bufferedHead.isPresent()) {
                    bufferedAnswerBytes += data.readableBytes();
                }
                if (bufferedAnswerBytes > MAX_BUFFERED_ANSWER_BYTES) {
                    sendBufferedHead();
                    flush();
                }
            });
        }

        @Override
        public void requestBodyWritten(int bytes) {
            onLoop(() -> channel.writeAndFlush(Frame.of(FrameType.CREDIT, key.stream(), bytes)));
        }

        @Override
        public void ended(TargetResult result) {
            // Queued on the event loop behind the pieces of the answer, so that the end can't overtake them.
            onLoop(() -> mailbox.put(new TrafficEvent.TargetEnded(key, result)));
        }
    }
}
