package org.heatherhaven.node.entry;

import java.time.Duration;
import java.util.function.BiConsumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.TrafficEvent.AttemptEnded;
import org.heatherhaven.core.event.TrafficEvent.AttemptLost;
import org.heatherhaven.core.event.TrafficEvent.AttemptRefused;
import org.heatherhaven.core.event.TrafficEvent.CallerGone;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Header;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.node.EventLoops;
import org.heatherhaven.node.peer.AttemptListener;
import org.heatherhaven.node.peer.AttemptStream;
import org.heatherhaven.node.wire.AnswerEnd;
import org.heatherhaven.node.wire.AnswerHead;
import org.heatherhaven.node.wire.OfferHead;
import org.heatherhaven.node.wire.RefusedHead;

/** A call between a caller's connection and the attempts made for it. Its fields belong to the caller's event loop. */
final class EntryExchange {

    private static final int NO_BODY_STATUS_NO_CONTENT = 204;
    private static final int NO_BODY_STATUS_NOT_MODIFIED = 304;

    private final long number;
    private final Channel channel;
    private final EntryCalls calls;
    private final BiConsumer<EntryExchange, Boolean> finished;
    private final RequestBody body;
    private boolean keepAlive;
    private boolean answering;
    private boolean closing;
    private boolean flushing;
    private boolean over;
    private int attempt;
    private AttemptStream stream;
    private CallHead head;

    EntryExchange(
            long number,
            Channel channel,
            EntryCalls calls,
            boolean bodyExpected,
            long maxBodyBytes,
            BiConsumer<EntryExchange, Boolean> finished) {
        this.number = number;
        this.channel = channel;
        this.calls = calls;
        this.finished = finished;
        this.body = new RequestBody(channel, bodyExpected, maxBodyBytes);
    }

    long number() {
        return number;
    }

    Channel channel() {
        return channel;
    }

    void keepAlive(boolean wanted) {
        keepAlive = wanted;
    }

    /** Takes a piece of the request's body from the caller. */
    void body(ByteBuf data, boolean last) {
        if (over) {
            data.release();
            return;
        }
        if (!body.add(data, last)) {
            tooLarge();
        }
    }

    private void tooLarge() {
        calls.post(new CallerGone(number));
        if (answering) {
            channel.close();
            return;
        }
        Outcome outcome = attempt == 0 ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        Refusal refusal = new Refusal(Reason.TOO_LARGE, outcome, Duration.ZERO, "the body grew beyond the limit");
        calls.countRefusal(Reason.TOO_LARGE);
        String id = head == null ? "none" : head.requestId();
        keepAlive = false;
        end();
        LastAnswer.writeAndClose(
                channel, calls.dialect().writeRefusal(refusal, id, head == null ? 0 : head.policyVersion()));
    }

    void callerGone() {
        if (!over) {
            over = true;
            body.release();
            calls.post(new CallerGone(number));
        }
    }

    /** Sends the call to a target's node; called by the control thread. */
    void forward(Effect.ForwardCall effect) {
        EventLoops.run(channel.eventLoop(), () -> {
            if (over) {
                return;
            }
            attempt = effect.attempt();
            head = effect.head();
            Attempt listener = new Attempt(effect.attempt());
            stream = calls.peers().offer(effect.to(), new OfferHead(effect.head(), body.expected()), listener);
            body.startAttempt(stream);
        });
    }

    /** Cancels an attempt; called by the control thread. */
    void cancel(Effect.CancelAttempt effect) {
        EventLoops.run(channel.eventLoop(), () -> {
            if (attempt == effect.attempt() && stream != null) {
                stream.cancel();
            }
            if (over) {
                calls.leave(number);
            }
        });
    }

    /** Answers with a refusal, once the rest of a request that came with its head has been read. */
    void refuse(Effect.RefuseCall effect) {
        channel.eventLoop().execute(() -> {
            calls.leave(number);
            if (over) {
                return;
            }
            if (answering) {
                // Part of an answer is out: it must not look whole.
                over = true;
                body.release();
                channel.close();
                return;
            }
            boolean reusable = reusable();
            HttpResponse response =
                    calls.dialect().writeRefusal(effect.refusal(), effect.requestId(), effect.policyVersion());
            end();
            if (reusable) {
                channel.writeAndFlush(response);
                finished.accept(this, true);
            } else {
                finished.accept(this, false);
                LastAnswer.writeAndClose(channel, response);
            }
        });
    }

    private void end() {
        over = true;
        body.release();
    }

    /** Hears one attempt, and moves what it hears to the caller's event loop. */
    private final class Attempt implements AttemptListener {

        private final int mine;

        private Attempt(int mine) {
            this.mine = mine;
        }

        private void onCaller(Runnable action, Runnable otherwise) {
            EventLoops.run(channel.eventLoop(), () -> {
                if (attempt == mine && !over) {
                    action.run();
                } else {
                    otherwise.run();
                }
            });
        }

        @Override
        public void answered(AnswerHead answer) {
            onCaller(() -> writeHead(answer), () -> {});
        }

        @Override
        public void chunk(ByteBuf data) {
            onCaller(() -> writeChunk(data), data::release);
        }

        @Override
        public void credit(int bytes) {
            onCaller(() -> body.credit(bytes), () -> {});
        }

        @Override
        public void ended(AnswerEnd answerEnd) {
            onCaller(() -> answerEnded(answerEnd), () -> {});
        }

        @Override
        public void replied(AnswerHead answer, ByteBuf data, Signal signal) {
            onCaller(() -> writeWhole(answer, data, signal), data::release);
        }

        @Override
        public void refused(RefusedHead refused) {
            onCaller(() -> attemptRefused(refused), () -> {});
        }

        @Override
        public void lost(Outcome outcome) {
            onCaller(() -> attemptLost(outcome), () -> {});
        }
    }

    private void writeHead(AnswerHead answer) {
        answering = true;
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()));
        fillHead(response, answer);
        channel.write(response);
        flushSoon();
    }

    private void writeWhole(AnswerHead answer, ByteBuf data, Signal signal) {
        answering = true;
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()), data);
        fillHead(response, answer);
        calls.leave(number);
        end();
        calls.post(new AttemptEnded(number, attempt, true, signal));
        writeLast(response);
    }

    private void fillHead(HttpResponse response, AnswerHead answer) {
        for (Header header : answer.headers()) {
            response.headers().add(header.name(), header.value());
        }
        calls.dialect().addCallerHeaders(response.headers(), head);
        boolean bodiless = answer.status() == NO_BODY_STATUS_NO_CONTENT
                || answer.status() == NO_BODY_STATUS_NOT_MODIFIED
                || answer.status() < HttpResponseStatus.OK.code();
        if (!bodiless && !response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            HttpUtil.setTransferEncodingChunked(response, true);
        }
        closing = !reusable();
        if (closing) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private boolean reusable() {
        return keepAlive && body.complete() && !calls.closesAfterAnswers();
    }

    /** Pieces that arrive together leave together. */
    private void flushSoon() {
        if (!flushing) {
            flushing = true;
            channel.eventLoop().execute(() -> {
                flushing = false;
                channel.flush();
            });
        }
    }

    private void writeChunk(ByteBuf data) {
        int bytes = data.readableBytes();
        AttemptStream from = stream;
        channel.write(new DefaultHttpContent(data)).addListener(done -> {
            if (done.isSuccess()) {
                from.grant(bytes);
            }
        });
        flushSoon();
    }

    private void answerEnded(AnswerEnd answerEnd) {
        if (!answering) {
            // No head came: the target's node lost the answer, so that nothing was passed on yet.
            Refusal refusal = Refusal.unknown(Reason.TARGET_FAILED, "the target broke off before it answered");
            calls.post(new AttemptRefused(number, attempt, refusal, answerEnd.signal(), body.resendable()));
            return;
        }
        calls.leave(number);
        end();
        boolean whole = answerEnd.whole();
        calls.post(new AttemptEnded(number, attempt, whole, answerEnd.signal()));
        if (!whole) {
            channel.close();
            return;
        }
        writeLast(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    private void writeLast(LastHttpContent last) {
        ChannelFuture written = channel.writeAndFlush(last);
        if (closing) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
        finished.accept(this, !closing);
    }

    private void attemptRefused(RefusedHead refused) {
        calls.post(new AttemptRefused(number, attempt, refused.refusal(), refused.signal(), body.resendable()));
    }

    private void attemptLost(Outcome outcome) {
        if (answering) {
            calls.leave(number);
            end();
            calls.post(new AttemptEnded(number, attempt, false, Signal.withoutOverload(0)));
            channel.close();
            return;
        }
        calls.post(new AttemptLost(number, attempt, outcome, body.resendable()));
    }
}
