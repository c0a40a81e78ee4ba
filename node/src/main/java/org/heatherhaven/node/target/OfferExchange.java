package org.heatherhaven.node.target;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.event.TrafficEvent;
import org.heatherhaven.core.event.TrafficEvent.TargetResult;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Header;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.node.EventLoops;
import org.heatherhaven.node.control.Mailbox;
import org.heatherhaven.node.peer.OfferedCall;
import org.heatherhaven.node.peer.Windows;
import org.heatherhaven.node.wire.AnswerEnd;
import org.heatherhaven.node.wire.AnswerHead;
import org.heatherhaven.node.wire.Frame;
import org.heatherhaven.node.wire.FrameType;
import org.heatherhaven.node.wire.OfferHead;
import org.heatherhaven.node.wire.RefusedHead;
import org.heatherhaven.node.wire.ReplyHead;

/** A call between a peer's connection and the target. Its fields belong to the connection's event loop. */
final class OfferExchange implements OfferedCall {

    /** A smaller answer is passed on once it is whole, so that one that breaks off can be asked for again. */
    private static final int MAX_BUFFERED_ANSWER_BYTES = 64 * 1024;

    private final OfferKey key;
    private final CallHead head;
    private final boolean hasBody;
    private final Channel channel;
    private final Mailbox<Event> mailbox;
    private final Runnable deregister;
    private final Deque<ByteBuf> unsentAnswer = new ArrayDeque<>();
    private final Deque<ByteBuf> unsentRequestBody = new ArrayDeque<>();
    private int answerWindow = Windows.BODY_WINDOW_BYTES;
    private int answerBytes;
    private Optional<AnswerHead> bufferedHead = Optional.empty();
    private boolean headSent;
    private boolean bodyEnded;
    private boolean over;
    private Optional<AnswerEnd> answerEnd = Optional.empty();
    private Optional<TargetExchange> exchange = Optional.empty();

    OfferExchange(OfferKey key, OfferHead offer, Channel channel, Mailbox<Event> mailbox, Runnable forget) {
        this.key = key;
        this.head = offer.call();
        this.hasBody = offer.hasBody();
        this.channel = channel;
        this.mailbox = mailbox;
        this.deregister = forget;
    }

    private void onLoop(Runnable action) {
        EventLoops.run(channel.eventLoop(), action);
    }

    @Override
    public void chunk(ByteBuf data) {
        if (!hasBody || over) {
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
    public void credit(int bytes) {
        answerWindow += bytes;
        flush();
    }

    @Override
    public void cancelled() {
        mailbox.put(new TrafficEvent.OfferCancelled(key));
    }

    @Override
    public boolean over() {
        return over;
    }

    /** Hands the call to the target; called by the control thread. */
    void run(Effect.RunOffer effect, TargetConnections connections) {
        onLoop(() -> {
            if (!channel.isActive()) {
                // The peer is gone, and with it whoever would take the answer: nothing needs to run.
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

    /** Cancels the call at the target; called by the control thread. */
    void abort() {
        onLoop(() -> exchange.ifPresent(TargetExchange::abort));
    }

    /** Refuses the call; called by the control thread. */
    void refuse(Effect.RefuseOffer effect) {
        onLoop(() -> {
            if (headSent) {
                // The head of an answer is out already, so that the answer can only break off.
                finishAnswer(new AnswerEnd(false, effect.signal()));
                return;
            }
            close(Frame.of(FrameType.REFUSED, key.stream(), new RefusedHead(effect.refusal(), effect.signal())));
        });
    }

    /** Ends the answer; called by the control thread. */
    void finish(boolean whole, Signal signal) {
        onLoop(() -> finishAnswer(new AnswerEnd(whole, signal)));
    }

    private void finishAnswer(AnswerEnd last) {
        if (last.whole() && bufferedHead.isPresent()) {
            sendCompleteAnswer(bufferedHead.get(), last.signal());
            return;
        }
        if (!last.whole()) {
            bufferedHead = Optional.empty();
            unsentAnswer.forEach(ByteBuf::release);
            unsentAnswer.clear();
        }
        answerEnd = Optional.of(last);
        flush();
    }

    /** An answer that was held back whole leaves in one frame. */
    private void sendCompleteAnswer(AnswerHead answer, Signal signal) {
        bufferedHead = Optional.empty();
        headSent = true;
        ByteBuf body = Unpooled.wrappedBuffer(unsentAnswer.toArray(ByteBuf[]::new));
        unsentAnswer.clear();
        close(Frame.reply(key.stream(), new ReplyHead(answer, signal), body));
    }

    private void sendBufferedHead() {
        bufferedHead.ifPresent(answer -> {
            bufferedHead = Optional.empty();
            headSent = true;
            write(Frame.of(FrameType.ANSWER, key.stream(), answer));
        });
    }

    private void flush() {
        if (over || bufferedHead.isPresent()) {
            return;
        }
        while (!unsentAnswer.isEmpty() && answerWindow > 0) {
            ByteBuf data = unsentAnswer.poll();
            if (data.readableBytes() > answerWindow) {
                ByteBuf part = data.readRetainedSlice(answerWindow);
                answerWindow = 0;
                write(Frame.chunk(key.stream(), part));
                unsentAnswer.addFirst(data);
                break;
            }
            answerWindow -= data.readableBytes();
            write(Frame.chunk(key.stream(), data));
        }
        exchange.ifPresent(sent -> sent.setReading(unsentAnswer.isEmpty()));
        if (unsentAnswer.isEmpty() && answerEnd.isPresent()) {
            close(Frame.of(FrameType.END, key.stream(), answerEnd.get()));
        } else {
            channel.flush();
        }
    }

    /** A frame that can't be written must not leave a gap in an answer that goes on. */
    private void write(Frame frame) {
        channel.write(frame).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    private void close(Frame last) {
        over = true;
        deregister.run();
        unsentAnswer.forEach(ByteBuf::release);
        unsentAnswer.clear();
        unsentRequestBody.forEach(ByteBuf::release);
        unsentRequestBody.clear();
        channel.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Hears the target, and moves what it hears to the peer connection's event loop. */
    private final class AnswerForwarder implements AnswerListener {

        @Override
        public void headReceived(int status, List<Header> headers) {
            onLoop(() -> bufferedHead = Optional.of(new AnswerHead(status, headers)));
        }

        @Override
        public void bodyReceived(ByteBuf data) {
            onLoop(() -> {
                if (over) {
                    data.release();
                    return;
                }
                unsentAnswer.add(data);
                answerBytes += data.readableBytes();
                if (answerBytes > MAX_BUFFERED_ANSWER_BYTES) {
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
            // Behind the pieces of the answer on the same event loop, so that the end can't overtake them.
            onLoop(() -> mailbox.put(new TrafficEvent.TargetEnded(key, result)));
        }
    }
}
