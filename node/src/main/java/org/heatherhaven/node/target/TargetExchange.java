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

/** One call at the target, from its request to the end of its answer. Its fields belong to one event loop. */
public final class TargetExchange {

    /** Bytes of an answer that nobody wants; beyond these the connection is not worth keeping. */
    private static final int MAX_SKIPPED_BYTES = 64 * 1024;

    private final EventLoop loop;
    private final CallDialect dialect;
    private final CallHead head;
    private final boolean hasBody;
    private final HttpRequest request;
    private final AnswerListener listener;
    private final Deque<ByteBuf> unsent = new ArrayDeque<>();
    private Optional<TargetConnection> connection = Optional.empty();
    private Optional<Future<?>> timer = Optional.empty();
    private boolean bodyComplete;
    private boolean requestSent;
    private boolean wantsReading = true;
    private boolean skipping;
    private int skipped;
    private boolean spoiled;
    private Optional<TargetResult> refusal = Optional.empty();
    private boolean over;

    TargetExchange(
            EventLoop loop,
            CallDialect dialect,
            CallHead head,
            boolean hasBody,
            RunOffer order,
            AnswerListener listener) {
        this.loop = loop;
        this.dialect = dialect;
        this.head = head;
        this.hasBody = hasBody;
        this.listener = listener;
        this.bodyComplete = !hasBody;
        this.request =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(head.method()), head.path(), false);
        fillHeaders(request.headers(), order);
    }

    private void fillHeaders(HttpHeaders headers, RunOffer order) {
        for (Header header : head.headers()) {
            headers.add(header.name(), header.value());
        }
        if (hasBody && EndToEndHeaders.contentLength(head.headers()) < 0) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        dialect.addTargetHeaders(headers, head, order.target(), order.context(), order.timeout());
    }

    CallHead head() {
        return head;
    }

    boolean over() {
        return over;
    }

    void startTimer(Duration timeout) {
        timer = Optional.of(
                loop.schedule(() -> end(TargetResult.ABORTED, false), timeout.toMillis(), TimeUnit.MILLISECONDS));
    }

    /**
     * Adds a piece of the request's body.
     *
     * @param data the bytes, owned by the exchange
     */
    public void feed(ByteBuf data) {
        onLoop(() -> {
            if (over) {
                data.release();
                return;
            }
            unsent.add(data);
            pump();
        });
    }

    /** Ends the request's body. */
    public void endBody() {
        onLoop(() -> {
            bodyComplete = true;
            pump();
        });
    }

    /**
     * Stops or resumes reading the answer.
     *
     * @param reading true to read
     */
    public void setReading(boolean reading) {
        onLoop(() -> {
            wantsReading = reading;
            connection.ifPresent(open -> open.setReading(reading));
        });
    }

    /** Cancels the call: its connection is closed, so that the target drops it. */
    public void abort() {
        onLoop(() -> end(TargetResult.ABORTED, false));
    }

    private void onLoop(Runnable action) {
        EventLoops.run(loop, action);
    }

    /** The connection is open: the request goes out. */
    void started(TargetConnection open) {
        connection = Optional.of(open);
        open.setReading(wantsReading);
        open.write(request);
        pump();
        open.flush();
    }

    private void pump() {
        if (connection.isEmpty() || requestSent) {
            return;
        }
        TargetConnection open = connection.get();
        while (!unsent.isEmpty()) {
            ByteBuf data = unsent.poll();
            int bytes = data.readableBytes();
            open.write(new DefaultHttpContent(data), () -> listener.bodyTaken(bytes));
        }
        if (bodyComplete) {
            requestSent = true;
            open.write(LastHttpContent.EMPTY_LAST_CONTENT);
        }
        open.flush();
    }

    /** No connection could be made: nothing was sent. */
    void notConnected() {
        end(TargetResult.NOT_SENT, false);
    }

    /** The connection was closed or its bytes make no sense. */
    void broken() {
        end(TargetResult.FAILED, false);
    }

    void received(HttpResponse response) {
        ResponseVerdict verdict =
                dialect.classifyResponse(head, response.status().code(), response.headers());
        switch (verdict) {
            case VALID -> {
                List<Header> headers = dialect.responseHeaders(response.headers());
                listener.answered(response.status().code(), headers);
            }
            case OTHER_CALL -> {
                skipping = true;
                spoiled = true;
            }
            case OVERLOADED -> refusal = Optional.of(TargetResult.OVERLOADED);
            case NOT_RUN -> refusal = Optional.of(TargetResult.REFUSED);
            case REPLACED -> refusal = Optional.of(TargetResult.REPLACED);
            default -> broken();
        }
    }

    void received(ByteBuf data) {
        if (over || !data.isReadable()) {
            data.release();
            return;
        }
        if (skipping || refusal.isPresent()) {
            skip(data);
            return;
        }
        listener.received(data);
    }

    private void skip(ByteBuf data) {
        skipped += data.readableBytes();
        data.release();
        if (skipped > MAX_SKIPPED_BYTES) {
            end(skipping ? TargetResult.FAILED : refusal.orElseThrow(), false);
        }
    }

    /** The end of an answer was received; the answer to this call may still follow one to another. */
    void receivedLast() {
        if (skipping) {
            skipping = false;
            return;
        }
        end(refusal.orElse(TargetResult.ANSWERED), requestSent && !spoiled);
    }

    private void end(TargetResult result, boolean reusable) {
        if (over) {
            return;
        }
        over = true;
        timer.ifPresent(task -> task.cancel(false));
        unsent.forEach(ByteBuf::release);
        unsent.clear();
        connection.ifPresent(open -> open.exchangeOver(reusable));
        listener.over(result);
    }
}
