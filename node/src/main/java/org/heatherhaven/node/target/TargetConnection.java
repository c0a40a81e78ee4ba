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

/** A connection to the target, which works on one call at a time. Its fields belong to one event loop. */
final class TargetConnection extends ChannelInboundHandlerAdapter {

    /** Idle connections without a promise of the target are not trusted for longer. */
    private static final Duration DEFAULT_MAX_IDLE = Duration.ofSeconds(4);

    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");

    /** Interim answers to one call; a target that sends more sends them without end. */
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

    TargetRef target() {
        return target;
    }

    /** Tells whether the target surely still listens at the other end. */
    boolean isUsable(Duration limit) {
        Duration shorter = limit.compareTo(maxIdle) < 0 ? limit : maxIdle;
        return channel.isActive()
                && Duration.between(idleSince, clock.instant()).compareTo(shorter) < 0;
    }

    void start(TargetExchange exchange) {
        current = Optional.of(exchange);
        interimResponses = 0;
        exchange.connected(this);
    }

    void write(HttpObject message) {
        channel.write(message).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    void write(HttpContent message, Runnable taken) {
        channel.write(message).addListener(done -> {
            if (done.isSuccess()) {
                taken.run();
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
            // Bytes that belong to no call: whatever follows them can't be trusted.
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
            // The decoder ends an interim answer like any other, without it being the answer.
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
        // Before the close: the decoder would otherwise take the end of a reset connection for the end of an answer.
        current.ifPresent(TargetExchange::fail);
        ctx.close();
    }
}
