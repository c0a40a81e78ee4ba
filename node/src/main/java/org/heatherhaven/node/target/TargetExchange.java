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
import org.heatherhaven.node.http.AnswerVerdict;
import org.heatherhaven.node.http.CallDialect;
import org.heatherhaven.node.http.EndToEnd;

/** One call at the target, from its request to the end of its answer. Its fields belong to one event loop. */
public final class TargetExchange {

    /** Bytes of an answer that nobody wants; beyond these the connection is not worth keeping. */
    private static final int MAX_DISCARDED_BYTES = 64 * 1024;

    private final EventLoop loop;
    private final CallDialect dialect;
    private final CallHead head;
    private final boolean hasBody;
    private final HttpRequest request;
    private final AnswerListener listener;
    private final Deque<ByteBuf> unsentBody = new ArrayDeque<>();
    private Optional<TargetConnection> connection = Optional.empty();
    private Optional<Future<?>> timer = Optional.empty();
    private boolean bodyComplete;
    private boolean requestSent;
    private boolean readingEnabled = true;
    private boolean readingForeignAnswer;
    private int discardedBytes;
    private boolean foreignAnswerSeen;
    private Optional<TargetResult> refusalResult = Optional.empty();
    private boolean ended;

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
        if (hasBody && EndToEnd.contentLength(head.headers()) < 0) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        dialect.addForTarget(headers, head, order.target(), order.context(), order.timeout());
    }

    CallHead head() {
        return head;
    }

    boolean ended() {
        return ended;
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

    /** Ends the request's body. */
    public void endBody() {
        onLoop(() -> {
            bodyComplete = true;
            writeBody();
        });
    }

    /**
     * Stops or resumes reading the answer.
     *
     * @param reading true to read
     */
    public void setReading(boolean reading) {
        onLoop(() -> {
            readingEnabled = reading;
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
    void connected(TargetConnection open) {
        connection = Optional.of(open);
        open.setReading(readingEnabled);
        open.write(request);
        writeBody();
        open.flush();
    }

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

    /** No connection could be made: nothing was sent. */
    void connectFailed() {
        end(TargetResult.NOT_SENT, false);
    }

    /** The connection was closed or its bytes make no sense. */
    void fail() {
        end(TargetResult.FAILED, false);
    }

    void received(HttpResponse response) {
        AnswerVerdict verdict = dialect.judge(head, response.status().code(), response.headers());
        switch (verdict) {
            case ANSWER -> {
                List<Header> headers = dialect.answerHeaders(response.headers());
                listener.headReceived(response.status().code(), headers);
            }
            case FOREIGN -> {
                readingForeignAnswer = true;
                foreignAnswerSeen = true;
            }
            case OVERLOADED -> refusalResult = Optional.of(TargetResult.OVERLOADED);
            case NOT_RUN -> refusalResult = Optional.of(TargetResult.REFUSED);
            case REPLACED -> refusalResult = Optional.of(TargetResult.REPLACED);
            default -> fail();
        }
    }

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
            end(readingForeignAnswer ? TargetResult.FAILED : refusalResult.orElseThrow(), false);
        }
    }

    /** The end of an answer was received; the answer to this call may still follow one to another. */
    void answerComplete() {
        if (readingForeignAnswer) {
            readingForeignAnswer = false;
            return;
        }
        end(refusalResult.orElse(TargetResult.ANSWERED), requestSent && !foreignAnswerSeen);
    }

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
