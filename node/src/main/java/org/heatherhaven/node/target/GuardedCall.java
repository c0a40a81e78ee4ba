package org.heatherhaven.node.target;

import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeoutException;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.HttpHeaders;
import org.asynchttpclient.ListenableFuture;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.event.TrafficEvent;
import org.heatherhaven.core.event.TrafficEvent.TargetResult;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Header;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.node.control.Mailbox;
import org.heatherhaven.node.http.EndToEnd;
import org.heatherhaven.node.peer.OfferedCall;
import org.heatherhaven.node.peer.Windows;
import org.heatherhaven.node.wire.AnswerEnd;
import org.heatherhaven.node.wire.AnswerHead;
import org.heatherhaven.node.wire.Frame;
import org.heatherhaven.node.wire.FrameType;
import org.heatherhaven.node.wire.OfferHead;
import org.heatherhaven.node.wire.RefusedHead;

/** A call between a peer's connection and the target. Its fields belong to the connection's event loop. */
final class GuardedCall implements OfferedCall {

    private final OfferKey key;
    private final CallHead head;
    private final Optional<TargetBody> body;
    private final Channel channel;
    private final Mailbox<Event> mailbox;
    private final Runnable forget;
    private final Deque<ByteBuf> unsent = new ArrayDeque<>();
    private int window = Windows.BODY_WINDOW_BYTES;
    private boolean answered;
    private boolean over;
    private Optional<AnswerEnd> end = Optional.empty();
    private TargetAnswer answer;
    private ListenableFuture<Void> running;
    private volatile boolean aborted;

    GuardedCall(OfferKey key, OfferHead offer, Channel channel, Mailbox<Event> mailbox, Runnable forget) {
        this.key = key;
        this.head = offer.call();
        this.channel = channel;
        this.mailbox = mailbox;
        this.forget = forget;
        this.body = offer.hasBody()
                ? Optional.of(new TargetBody(EndToEnd.contentLength(head.headers()), this::grant))
                : Optional.empty();
    }

    CallHead head() {
        return head;
    }

    private void grant(int bytes) {
        channel.writeAndFlush(Frame.of(FrameType.CREDIT, key.stream(), bytes));
    }

    @Override
    public void chunk(ByteBuf data) {
        if (body.isEmpty() || over) {
            data.release();
            return;
        }
        body.get().feed(data, false);
    }

    @Override
    public void bodyEnded() {
        body.ifPresent(bytes -> bytes.feed(Unpooled.EMPTY_BUFFER, true));
    }

    @Override
    public void credit(int bytes) {
        window += bytes;
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
    void run(Effect.RunOffer effect, TargetClient target) {
        channel.eventLoop().execute(() -> {
            if (!channel.isActive()) {
                // The peer is gone, and with it whoever would take the answer: nothing needs to run.
                finishWithoutTarget();
                return;
            }
            answer = new TargetAnswer(this);
            running = target.send(head, body, effect.context(), effect.timeout(), answer);
        });
    }

    private void finishWithoutTarget() {
        mailbox.put(new TrafficEvent.TargetEnded(key, TargetResult.NOT_SENT));
    }

    /** Cancels the call at the target; called by the control thread. */
    void abort() {
        aborted = true;
        channel.eventLoop().execute(() -> {
            if (running != null) {
                running.abort(new TimeoutException("cancelled"));
            }
        });
    }

    /** Refuses the call; called by the control thread. */
    void refuse(Effect.RefuseOffer effect) {
        channel.eventLoop().execute(() -> {
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
        channel.eventLoop().execute(() -> finishAnswer(new AnswerEnd(whole, signal)));
    }

    private void finishAnswer(AnswerEnd last) {
        if (!last.whole()) {
            unsent.forEach(ByteBuf::release);
            unsent.clear();
        }
        end = Optional.of(last);
        flush();
    }

    void targetAnswered(int status, HttpHeaders headers) {
        List<Header> kept = EndToEnd.headers(headers);
        channel.eventLoop().execute(() -> {
            answered = true;
            channel.writeAndFlush(Frame.of(FrameType.ANSWER, key.stream(), new AnswerHead(status, kept)));
        });
    }

    void targetSent(ByteBuf data) {
        channel.eventLoop().execute(() -> {
            if (over) {
                data.release();
                return;
            }
            unsent.add(data);
            flush();
        });
    }

    void targetCompleted(boolean overloaded) {
        // Behind the pieces of the answer on the same event loop, so that the end can't overtake them.
        channel.eventLoop()
                .execute(() -> mailbox.put(new TrafficEvent.TargetEnded(
                        key, overloaded ? TargetResult.OVERLOADED : TargetResult.ANSWERED)));
    }

    void targetFailed(Throwable cause) {
        TargetResult result = cause instanceof ConnectException
                ? TargetResult.NOT_SENT
                : aborted || cause instanceof TimeoutException ? TargetResult.ABORTED : TargetResult.FAILED;
        channel.eventLoop().execute(() -> mailbox.put(new TrafficEvent.TargetEnded(key, result)));
    }

    private void flush() {
        if (over) {
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
        channel.flush();
        if (answer != null) {
            answer.setReading(unsent.isEmpty());
        }
        if (unsent.isEmpty() && end.isPresent()) {
            close(Frame.of(FrameType.END, key.stream(), end.get()));
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
        body.ifPresent(TargetBody::release);
        channel.writeAndFlush(last);
    }
}
