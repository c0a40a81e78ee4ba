package org.heatherhaven.node.target;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.heatherhaven.core.model.TargetRef;

/**
 * A connection to the target, used by one call at a time.
 *
 * <p>Its fields are accessed on one event loop only.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {

    /** Longest idle time after which a connection is reused if the target sent no Keep-Alive timeout. */
    private static final Duration DEFAULT_MAX_IDLE = Duration.ofSeconds(4);

    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");

    /** Largest number of interim (1xx) responses to one call; a target that sends more may never stop. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    private final TargetRef target;
    private final TargetConnections pool;
    private final InstantSource clock;
    private Channel channel;
    private Optional<TargetExchange> current = Optional.empty();
    private Duration maxIdle = DEFAULT_MAX_IDLE;
    private Instant idleSince = Instant.MIN;
    private boolean closeAfterAnswer;
    private boolean readingInterim;
    private int interimResponses;

    TargetConnection(TargetRef target, TargetConnections pool, InstantSource clock) {
        this.target = target;
        this.pool = pool;
        this.clock = clock;
    }

    /** Returns the target process that the connection was opened to. */
    TargetRef target() {
        return target;
    }

    /**
     * Returns true if the connection is open and has been idle for so short a time that the target is not expected to
     * close it.
     *
     * @param limit longest acceptable idle time; a shorter limit derived from the target's Keep-Alive header wins
     */
    boolean isUsable(Duration limit) {
        Duration shorter = limit.compareTo(maxIdle) < 0 ? limit : maxIdle;
        return channel.isActive()
                && Duration.between(idleSince, clock.instant()).compareTo(shorter) < 0;
    }

    /** Assigns the connection to a call, which then sends its request. */
    void start(TargetExchange exchange) {
        current = Optional.of(exchange);
        interimResponses = 0;
        exchange.connected(this);
    }

    void write(HttpObject message) {
        channel.write(message).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Writes a piece of the body and then runs {@code onWritten}; a failed write closes the connection. */
    void write(HttpContent message, Runnable onWritten) {
        channel.write(message).addListener(done -> {
            if (done.isSuccess()) {
                onWritten.run();
            } else {
                channel.close();
            }
        });
    }

    void flush() {
        channel.flush();
    }

    void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    /** Returns the connection to the pool, or closes it if it can't serve another call. */
    void exchangeEnded(boolean reusable) {
        current = Optional.empty();
        if (!reusable || closeAfterAnswer || !channel.isActive()) {
            channel.close();
            return;
        }
        setReading(true);
        idleSince = clock.instant();
        pool.idle(this);
    }

    void close() {
        channel.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (current.isEmpty()) {
            // Unexpected bytes while idle: they could be taken for the answer to the next call.
            ReferenceCountUtil.release(message);
            ctx.close();
            return;
        }
        TargetExchange exchange = current.get();
        HttpObject object = (HttpObject) message;
        if (!object.decoderResult().isSuccess()) {
            ReferenceCountUtil.release(message);
            exchange.fail();
            return;
        }
        if (object instanceof HttpResponse response) {
            readingInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (readingInterim) {
                countInterimResponse(exchange);
                return;
            }
            readKeepAlive(response);
            exchange.received(response);
        }
        if (readingInterim) {
            // The decoder emits a last content for an interim response, too; it does not end the answer.
            ReferenceCountUtil.release(message);
            return;
        }
        if (object instanceof HttpContent content) {
            boolean last = object instanceof LastHttpContent;
            exchange.received(content.content());
            if (last) {
                exchange.answerComplete();
            }
        }
    }

    private void countInterimResponse(TargetExchange exchange) {
        interimResponses++;
        if (interimResponses > MAX_INTERIM_RESPONSES) {
            exchange.fail();
        }
    }

    /** Reads the target's Keep-Alive timeout; half of it is used, so that no call is sent close to its end. */
    private void readKeepAlive(HttpResponse response) {
        HttpHeaders headers = response.headers();
        closeAfterAnswer |= !HttpUtil.isKeepAlive(response);
        Matcher timeout = KEEP_ALIVE_TIMEOUT.matcher(headers.get(HttpHeaderNames.KEEP_ALIVE.toString(), ""));
        if (timeout.find()) {
            maxIdle = Duration.ofSeconds(Long.parseLong(timeout.group(1))).dividedBy(2);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.connectionClosed(this);
        current.ifPresent(TargetExchange::fail);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // Fails the call before closing: at a close, the decoder ends an answer without a length as if it were
        // complete.
        current.ifPresent(TargetExchange::fail);
        ctx.close();
    }
}
