package org.heatherhaven.node.entry;

import java.time.Duration;
import java.util.function.BiConsumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
import org.heatherhaven.node.http.LingeringClose;
import org.heatherhaven.node.peer.AttemptListener;
import org.heatherhaven.node.peer.AttemptStream;
import org.heatherhaven.node.wire.AnswerEnd;
import org.heatherhaven.node.wire.AnswerHead;
import org.heatherhaven.node.wire.OfferHead;
import org.heatherhaven.node.wire.RefusedHead;

/**
 * One call that entered at this node: passes the request from the caller's connection to the current attempt, and the
 * answer back.
 *
 * <p>Its fields are accessed on the event loop of the caller's connection only.
 */
final class EntryExchange {

    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_MODIFIED = 304;

    private final long number;
    private final String requestId;
    private final Channel channel;
    private final EntryCalls calls;
    private final BiConsumer<EntryExchange, Boolean> onEnded;
    private final RequestBody body;
    private boolean keepAlive;
    private boolean headSent;
    private boolean closeAfterAnswer;
    private boolean flushScheduled;
    private boolean ended;
    private int attempt;

    /** True from the start of the current attempt until it answers, is refused or is lost. */
    private boolean attemptOpen;

    private AttemptStream stream;
    private CallHead head;

    /**
     * Creates the exchange.
     *
     * @param number number of the call
     * @param requestId identifier of the request for a refusal before the first attempt
     * @param channel the caller's connection
     * @param calls the open calls of this node
     * @param bodyExpected true if the request has a body
     * @param maxBodyBytes largest body accepted, bytes
     * @param onEnded runs when the call has ended; its flag is true if the connection can serve another call
     */
    EntryExchange(
            long number,
            String requestId,
            Channel channel,
            EntryCalls calls,
            boolean bodyExpected,
            long maxBodyBytes,
            BiConsumer<EntryExchange, Boolean> onEnded) {
        this.number = number;
        this.requestId = requestId;
        this.channel = channel;
        this.calls = calls;
        this.onEnded = onEnded;
        this.body = new RequestBody(channel, bodyExpected, maxBodyBytes);
    }

    long number() {
        return number;
    }

    Channel channel() {
        return channel;
    }

    /** Sets whether the caller wants its connection kept open after this call. */
    void keepAlive(boolean wanted) {
        keepAlive = wanted;
    }

    /** Adds a piece of the request's body; refuses the call if the body exceeds its limit. */
    void body(ByteBuf data, boolean last) {
        if (ended) {
            data.release();
            return;
        }
        if (!body.add(data, last)) {
            refuseTooLarge();
        }
    }

    /** Ends a call whose body is too large: refuses it, or closes the connection if its answer has started. */
    private void refuseTooLarge() {
        calls.post(new CallerGone(number));
        if (headSent) {
            channel.close();
            return;
        }
        Outcome outcome = attempt == 0 ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        Refusal refusal = new Refusal(Reason.TOO_LARGE, outcome, Duration.ZERO, "the body grew beyond the limit");
        calls.countRefusal(Reason.TOO_LARGE);
        String id = head == null ? requestId : head.requestId();
        keepAlive = false;
        end();
        ClosingResponse.writeAndClose(
                channel, calls.dialect().writeRefusal(refusal, id, head == null ? 0 : head.policyVersion()));
    }

    /** Ends the call, as the caller's connection was closed. */
    void callerGone() {
        if (!ended) {
            ended = true;
            body.release();
            calls.post(new CallerGone(number));
        }
    }

    /** Starts an attempt at the node beside a target; called by the control thread. */
    void forward(Effect.ForwardCall effect) {
        EventLoops.run(channel.eventLoop(), () -> {
            if (ended) {
                return;
            }
            attempt = effect.attempt();
            attemptOpen = true;
            head = effect.head();
            AnswerForwarder listener = new AnswerForwarder(effect.attempt());
            AttemptStream offered =
                    calls.peers().offer(effect.to(), new OfferHead(effect.head(), body.expected()), listener);
            if (attempt != effect.attempt() || !attemptOpen) {
                // The attempt was lost within the call above, and its loss may have started another one.
                return;
            }
            stream = offered;
            body.startAttempt(offered);
        });
    }

    /** Cancels the attempt if it is the current one; called by the control thread. */
    void cancel(Effect.CancelAttempt effect) {
        EventLoops.run(channel.eventLoop(), () -> {
            if (attempt == effect.attempt() && stream != null) {
                stream.cancel();
            }
            if (ended) {
                calls.deregister(number);
            }
        });
    }

    /**
     * Withdraws the attempt if it is the current one and has not begun to answer; called by the control thread. An answer
     * that has begun goes on.
     */
    void withdraw(Effect.WithdrawAttempt effect) {
        EventLoops.run(channel.eventLoop(), () -> {
            if (attempt == effect.attempt() && attemptOpen && !headSent && !ended) {
                stream.withdraw();
            }
        });
    }

    /**
     * Answers with a refusal. Always queued on the event loop, so that a body read together with its head is complete
     * first and the connection can be reused.
     */
    void refuse(Effect.RefuseCall effect) {
        channel.eventLoop().execute(() -> {
            calls.deregister(number);
            if (ended) {
                return;
            }
            if (headSent) {
                // Part of an answer has been sent: closing the connection shows the caller that it is incomplete.
                ended = true;
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
                onEnded.accept(this, true);
            } else {
                onEnded.accept(this, false);
                ClosingResponse.writeAndClose(channel, response);
            }
        });
    }

    /** Ends an attempt that did not answer; what arrives of the request's body is kept for the next one. */
    private void endAttempt() {
        attemptOpen = false;
        body.endAttempt();
    }

    private void end() {
        ended = true;
        body.release();
    }

    /**
     * Passes the events of one attempt to the event loop of the caller's connection, and drops them once the call has
     * ended or another attempt has started.
     */
    private final class AnswerForwarder implements AttemptListener {

        private final int attemptNumber;

        private AnswerForwarder(int attemptNumber) {
            this.attemptNumber = attemptNumber;
        }

        private void runIfCurrent(Runnable action, Runnable otherwise) {
            EventLoops.run(channel.eventLoop(), () -> {
                if (attempt == attemptNumber && attemptOpen && !ended) {
                    action.run();
                } else {
                    otherwise.run();
                }
            });
        }

        /**
         * Runs an action if the head of the answer has been sent or not, as the frame requires. Otherwise the frames
         * don't form one answer, so the attempt counts as lost.
         */
        private void runInOrder(boolean afterHead, Runnable action, Runnable otherwise) {
            runIfCurrent(
                    () -> {
                        if (headSent == afterHead) {
                            action.run();
                            return;
                        }
                        otherwise.run();
                        rejectAnswer();
                    },
                    otherwise);
        }

        /** Starts an answer only if its status is one of a final response; otherwise the attempt counts as lost. */
        private void runIfFinal(AnswerHead answer, Runnable action, Runnable otherwise) {
            runInOrder(
                    false,
                    () -> {
                        if (answer.hasFinalStatus()) {
                            action.run();
                            return;
                        }
                        otherwise.run();
                        rejectAnswer();
                    },
                    otherwise);
        }

        private void rejectAnswer() {
            stream.cancel();
            reportLostAttempt(Outcome.UNKNOWN);
        }

        @Override
        public void headReceived(AnswerHead answer) {
            runIfFinal(answer, () -> writeHead(answer), () -> {});
        }

        @Override
        public void chunkReceived(ByteBuf data) {
            runInOrder(true, () -> writeChunk(data), data::release);
        }

        @Override
        public void creditReceived(int bytes) {
            runIfCurrent(() -> body.credit(bytes), () -> {});
        }

        @Override
        public void answerEnded(AnswerEnd answerEnd) {
            runIfCurrent(() -> finishAnswer(answerEnd), () -> {});
        }

        @Override
        public void answerReceived(AnswerHead answer, ByteBuf data, Signal signal) {
            runIfFinal(answer, () -> writeCompleteAnswer(answer, data, signal), data::release);
        }

        @Override
        public void refused(RefusedHead refused) {
            runInOrder(false, () -> attemptRefused(refused), () -> {});
        }

        @Override
        public void attemptLost(Outcome outcome) {
            runIfCurrent(() -> reportLostAttempt(outcome), () -> {});
        }
    }

    private void writeHead(AnswerHead answer) {
        headSent = true;
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()));
        fillHeaders(response, answer);
        channel.write(response);
        scheduleFlush();
    }

    /** Writes an answer that arrived in one frame. */
    private void writeCompleteAnswer(AnswerHead answer, ByteBuf data, Signal signal) {
        headSent = true;
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()), data);
        fillHeaders(response, answer);
        calls.deregister(number);
        end();
        calls.post(new AttemptEnded(number, attempt, true, signal));
        writeLast(response);
    }

    private void fillHeaders(HttpResponse response, AnswerHead answer) {
        for (Header header : answer.headers()) {
            response.headers().add(header.name(), header.value());
        }
        calls.dialect().addCallerHeaders(response.headers(), head);
        boolean bodiless = answer.status() == STATUS_NO_CONTENT
                || answer.status() == STATUS_NOT_MODIFIED
                || answer.status() < HttpResponseStatus.OK.code();
        if (!bodiless && !response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            HttpUtil.setTransferEncodingChunked(response, true);
        }
        closeAfterAnswer = !reusable();
        if (closeAfterAnswer) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /** Returns true if the caller's connection can serve another call after this one. */
    private boolean reusable() {
        return keepAlive && body.complete() && !calls.closesConnectionsAfterAnswers();
    }

    /** Schedules one flush for all pieces that arrive in the same run of the event loop. */
    private void scheduleFlush() {
        if (!flushScheduled) {
            flushScheduled = true;
            channel.eventLoop().execute(() -> {
                flushScheduled = false;
                channel.flush();
            });
        }
    }

    private void writeChunk(ByteBuf data) {
        int bytes = data.readableBytes();
        AttemptStream from = stream;
        channel.write(new DefaultHttpContent(data)).addListener(done -> {
            if (done.isSuccess()) {
                from.grantCredit(bytes);
            }
        });
        scheduleFlush();
    }

    private void finishAnswer(AnswerEnd answerEnd) {
        if (!headSent) {
            // The answer broke off before its head: nothing was sent to the caller, so the call can still be refused.
            Refusal refusal = Refusal.unknown(Reason.TARGET_FAILED, "the target broke off before it answered");
            endAttempt();
            calls.post(new AttemptRefused(number, attempt, refusal, answerEnd.signal(), body.resendable()));
            return;
        }
        calls.deregister(number);
        end();
        boolean complete = answerEnd.complete();
        calls.post(new AttemptEnded(number, attempt, complete, answerEnd.signal()));
        if (!complete) {
            channel.close();
            return;
        }
        writeLast(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    private void writeLast(LastHttpContent last) {
        ChannelFuture written = channel.writeAndFlush(last);
        if (closeAfterAnswer) {
            LingeringClose.after(written);
        }
        onEnded.accept(this, !closeAfterAnswer);
    }

    private void attemptRefused(RefusedHead refused) {
        endAttempt();
        calls.post(new AttemptRefused(number, attempt, refused.refusal(), refused.signal(), body.resendable()));
    }

    private void reportLostAttempt(Outcome outcome) {
        if (headSent) {
            calls.deregister(number);
            end();
            calls.post(new AttemptEnded(number, attempt, false, Signal.withoutOverload(0)));
            channel.close();
            return;
        }
        endAttempt();
        calls.post(new AttemptLost(number, attempt, outcome, body.resendable()));
    }
}
