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
import org.heatherhaven.node.peer.FlowControl;
import org.heatherhaven.node.wire.AnswerEnd;
import org.heatherhaven.node.wire.AnswerHead;
import org.heatherhaven.node.wire.Frame;
import org.heatherhaven.node.wire.FrameType;
import org.heatherhaven.node.wire.OfferHead;
import org.heatherhaven.node.wire.RefusedHead;
import org.heatherhaven.node.wire.ReplyHead;

/** A call between a peer's connection and the target. Its fields belong to the connection's event loop. */
final class GuardedCall implements OfferedCall {

    /** A smaller answer is passed on once it is whole, so that one that breaks off can be asked for again. */
    private static final int HELD_ANSWER_BYTES = 64 * 1024;

    private final OfferKey key;
    private final CallHead head;
    private final boolean hasBody;
    private final Channel channel;
    private final Mailbox<Event> mailbox;
    private final Runnable forget;
    private final Deque<ByteBuf> unsent = new ArrayDeque<>();
    private final Deque<ByteBuf> unfed = new ArrayDeque<>();
    private int window = FlowControl.BODY_WINDOW_BYTES;
    private int held;
    private Optional<AnswerHead> heldHead = Optional.empty();
    private boolean answered;
    private boolean bodyEnded;
    private boolean over;
    private Optional<AnswerEnd> end = Optional.empty();
    private Optional<TargetExchange> exchange = Optional.empty();

    GuardedCall(OfferKey key, OfferHead offer, Channel channel, Mailbox<Event> mailbox, Runnable forget) {
        this.key = key;
        this.head = offer.call();
        this.hasBody = offer.hasBody();
        this.channel = channel;
        this.mailbox = mailbox;
        this.forget = forget;
    }

    private void onLoop(Runnable action) {
        EventLoops.run(channel.eventLoop(), action);
    }

    @Override
    public void chunkReceived(ByteBuf data) {
        if (!hasBody || over) {
            data.release();
            return;
        }
        if (exchange.isPresent()) {
            exchange.get().feed(data);
        } else {
            unfed.add(data);
        }
    }

    @Override
    public void bodyEnded() {
        bodyEnded = true;
        exchange.ifPresent(TargetExchange::endBody);
    }

    @Override
    public void creditReceived(int bytes) {
        window += bytes;
        flush();
    }

    @Override
    public void cancelled() {
        mailbox.put(new TrafficEvent.OfferCancelled(key));
    }

    @Override
    public boolean isOver() {
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
            TargetExchange sent = connections.send(head, hasBody, effect, new Answer());
            exchange = Optional.of(sent);
            unfed.forEach(sent::feed);
            unfed.clear();
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
            if (answered) {
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
        if (last.complete() && heldHead.isPresent()) {
            reply(heldHead.get(), last.signal());
            return;
        }
        if (!last.complete()) {
            heldHead = Optional.empty();
            unsent.forEach(ByteBuf::release);
            unsent.clear();
        }
        end = Optional.of(last);
        flush();
    }

    /** An answer that was held back whole leaves in one frame. */
    private void reply(AnswerHead answer, Signal signal) {
        heldHead = Optional.empty();
        answered = true;
        ByteBuf body = Unpooled.wrappedBuffer(unsent.toArray(ByteBuf[]::new));
        unsent.clear();
        close(Frame.reply(key.stream(), new ReplyHead(answer, signal), body));
    }

    private void releaseHeld() {
        heldHead.ifPresent(answer -> {
            heldHead = Optional.empty();
            answered = true;
            write(Frame.of(FrameType.ANSWER, key.stream(), answer));
        });
    }

    private void flush() {
        if (over || heldHead.isPresent()) {
            return;
        }
        while (!unsent.isEmpty() && window > 0) {
            ByteBuf data = unsent.poll();
            if (data.readableBytes() > window) {
                ByteBuf part = data.readRetainedSlice(window);
                window = 0;
                write(Frame.chunk(key.stream(), part));
                unsent.addFirst(data);
                break;
            }
            window -= data.readableBytes();
            write(Frame.chunk(key.stream(), data));
        }
        exchange.ifPresent(sent -> sent.setReading(unsent.isEmpty()));
        if (unsent.isEmpty() && end.isPresent()) {
            close(Frame.of(FrameType.END, key.stream(), end.get()));
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
        forget.run();
        unsent.forEach(ByteBuf::release);
        unsent.clear();
        unfed.forEach(ByteBuf::release);
        unfed.clear();
        channel.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Hears the target, and moves what it hears to the peer connection's event loop. */
    private final class Answer implements AnswerListener {

        @Override
        public void answered(int status, List<Header> headers) {
            onLoop(() -> heldHead = Optional.of(new AnswerHead(status, headers)));
        }

        @Override
        public void received(ByteBuf data) {
            onLoop(() -> {
                if (over) {
                    data.release();
                    return;
                }
                unsent.add(data);
                held += data.readableBytes();
                if (held > HELD_ANSWER_BYTES) {
                    releaseHeld();
                    flush();
                }
            });
        }

        @Override
        public void bodyTaken(int bytes) {
            onLoop(() -> channel.writeAndFlush(Frame.of(FrameType.CREDIT, key.stream(), bytes)));
        }

        @Override
        public void over(TargetResult result) {
            // Behind the pieces of the answer on the same event loop, so that the end can't overtake them.
            onLoop(() -> mailbox.put(new TrafficEvent.TargetEnded(key, result)));
        }
    }
}
