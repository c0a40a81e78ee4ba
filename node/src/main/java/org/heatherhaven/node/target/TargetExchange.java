package org.heatherhaven.node.target;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.heatherhaven.core.effect.Effect.RunOffer;
import org.heatherhaven.core.event.TrafficEvent.TargetResult;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Header;
import org.heatherhaven.node.EventLoops;
import org.heatherhaven.node.http.CallDialect;
import org.heatherhaven.node.http.EndToEndHeaders;
import org.heatherhaven.node.http.ResponseVerdict;

/**
 * One call at the target, from sending the request to the end of the answer.
 *
 * <p>Its fields are accessed on the event loop of the target's connections only; the public methods can be called from
 * any thread.
 */
public final class TargetExchange {

    /**
     * Largest number of body bytes that are read and discarded to keep the connection; beyond it the connection is
     * closed.
     */
    private static final int MAX_DISCARDED_BYTES = 64 * 1024;

    private final EventLoop loop;
    private final CallDialect dialect;
    private final CallHead head;
    private final String contextId;
    private final boolean hasBody;
    private final HttpRequest request;
    private final AnswerListener listener;
    private final Deque<ByteBuf> unsentBody = new ArrayDeque<>();
    private Optional<TargetConnection> connection = Optional.empty();
    private Optional<Future<?>> timer = Optional.empty();
    private boolean bodyComplete;
    private boolean requestSent;
    private boolean readingEnabled = true;
    /** True while the response being read is the answer to another call. */
    private boolean readingForeignAnswer;

    private int discardedBytes;
    /** True once an answer to another call was read; the connection is then closed after this call. */
    private boolean foreignAnswerSeen;
    /** Result of the call if the head of the response is a refusal by the target. */
    private Optional<TargetResult> refusalResult = Optional.empty();

    private boolean ended;

    /**
     * Creates the exchange and builds the head of its request; nothing is sent yet.
     *
     * @param loop event loop of the target's connections
     * @param dialect conventions of HTTP headers and statuses between node and target
     * @param head head of the call
     * @param hasBody true if the body follows by {@link #addBody}
     * @param effect target process that shall run the call, context id and time limit
     * @param listener receives the answer
     */
    TargetExchange(
            EventLoop loop,
            CallDialect dialect,
            CallHead head,
            boolean hasBody,
            RunOffer effect,
            AnswerListener listener) {
        this.loop = loop;
        this.dialect = dialect;
        this.head = head;
        this.contextId = effect.context();
        this.hasBody = hasBody;
        this.listener = listener;
        this.bodyComplete = !hasBody;
        this.request =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(head.method()), head.path(), false);
        fillHeaders(request.headers(), effect);
    }

    private void fillHeaders(HttpHeaders headers, RunOffer effect) {
        for (Header header : head.headers()) {
            headers.add(header.name(), header.value());
        }
        if (hasBody && EndToEndHeaders.contentLength(head.headers()) < 0) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        dialect.addTargetHeaders(headers, head, effect.target(), effect.context(), effect.timeout());
    }

    /** Returns the head of the call. */
    CallHead head() {
        return head;
    }

    boolean ended() {
        return ended;
    }

    /** Starts the timer that aborts the call after the time limit. */
    void startTimer(Duration timeout) {
        timer = Optional.of(
                loop.schedule(() -> end(TargetResult.ABORTED, false), timeout.toMillis(), TimeUnit.MILLISECONDS));
    }

    /**
     * Adds a piece of the request's body.
     *
     * @param data the bytes, which the exchange releases
     */
    public void addBody(ByteBuf data) {
        onLoop(() -> {
            if (ended) {
                data.release();
                return;
            }
            unsentBody.add(data);
            writeBody();
        });
    }

    /** Marks the request's body as complete. */
    public void endBody() {
        onLoop(() -> {
            bodyComplete = true;
            writeBody();
        });
    }

    /**
     * Pauses or resumes reading the answer from the target's connection; does nothing once the call has ended, as the
     * connection may then serve another call.
     *
     * @param reading true to read, false to pause
     */
    public void setReading(boolean reading) {
        onLoop(() -> {
            if (ended) {
                return;
            }
            readingEnabled = reading;
            connection.ifPresent(open -> open.setReading(reading));
        });
    }

    /** Cancels the call and closes its connection, so that the target can drop the call. */
    public void abort() {
        onLoop(() -> end(TargetResult.ABORTED, false));
    }

    private void onLoop(Runnable action) {
        EventLoops.run(loop, action);
    }

    /** Sends the request on an open connection, with as much of the body as has arrived. */
    void connected(TargetConnection open) {
        connection = Optional.of(open);
        open.setReading(readingEnabled);
        open.writeHead(request);
        writeBody();
        open.flush();
    }

    /** Writes the body that has arrived, and the end of the request once the body is complete. */
    private void writeBody() {
        if (connection.isEmpty() || requestSent) {
            return;
        }
        TargetConnection open = connection.get();
        while (!unsentBody.isEmpty()) {
            ByteBuf data = unsentBody.poll();
            int bytes = data.readableBytes();
            open.write(new DefaultHttpContent(data), () -> listener.requestBodyWritten(bytes));
        }
        if (bodyComplete) {
            requestSent = true;
            open.write(LastHttpContent.EMPTY_LAST_CONTENT);
        }
        open.flush();
    }

    /** Ends the call as not sent: no connection could be opened. */
    void connectFailed() {
        end(TargetResult.NOT_SENT, false);
    }

    /** Ends the call as failed: the connection was closed or its bytes are not a valid answer. */
    void fail() {
        end(TargetResult.FAILED, false);
    }

    /** Handles the head of a response. */
    void received(HttpResponse response) {
        ResponseVerdict verdict =
                dialect.classifyResponse(head, contextId, response.status().code(), response.headers());
        connection.ifPresent(open -> open.reports().judged(verdict, head, response));
        switch (verdict) {
            case VALID -> {
                List<Header> headers = dialect.responseHeaders(response.headers());
                listener.headReceived(response.status().code(), headers);
            }
            case OTHER_CALL -> {
                readingForeignAnswer = true;
                foreignAnswerSeen = true;
            }
            case OVERLOADED -> refusalResult = Optional.of(TargetResult.OVERLOADED);
            case NOT_RUN -> refusalResult = Optional.of(TargetResult.REFUSED);
            case REPLACED -> refusalResult = Optional.of(TargetResult.REPLACED);
            default -> fail();
        }
    }

    /** Handles a piece of a response's body; the body of a refusal or of another call's answer is discarded. */
    void received(ByteBuf data) {
        if (ended || !data.isReadable()) {
            data.release();
            return;
        }
        if (readingForeignAnswer || refusalResult.isPresent()) {
            discard(data);
            return;
        }
        listener.bodyReceived(data);
    }

    private void discard(ByteBuf data) {
        discardedBytes += data.readableBytes();
        data.release();
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            if (readingForeignAnswer) {
                connection.ifPresent(open -> open.reports().otherCallTooLong(MAX_DISCARDED_BYTES));
            }
            end(readingForeignAnswer ? TargetResult.FAILED : refusalResult.orElseThrow(), false);
        }
    }

    /** Handles the end of a response. After an answer to another call, the answer to this call can still follow. */
    void answerComplete() {
        if (readingForeignAnswer) {
            readingForeignAnswer = false;
            return;
        }
        end(refusalResult.orElse(TargetResult.ANSWERED), requestSent && !foreignAnswerSeen);
    }

    /**
     * Ends the call and reports its result; does nothing if it has ended.
     *
     * @param result how the call ended
     * @param reusable true if the connection can serve another call
     */
    private void end(TargetResult result, boolean reusable) {
        if (ended) {
            return;
        }
        ended = true;
        timer.ifPresent(task -> task.cancel(false));
        unsentBody.forEach(ByteBuf::release);
        unsentBody.clear();
        connection.ifPresent(open -> open.exchangeEnded(reusable));
        listener.ended(result);
    }
}
