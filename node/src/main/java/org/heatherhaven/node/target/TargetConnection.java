package org.heatherhaven.node.target;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.heatherhaven.core.model.TargetRef;
import org.heatherhaven.node.http.CallDialect;

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

    /** Number of request ids that are remembered; a second answer to an earlier request is not expected any more. */
    private static final int MAX_RECENT_IDS = 64;

    private final TargetRef target;
    private final TargetConnections pool;
    private final CallDialect dialect;
    private final InstantSource clock;
    private final TargetResponseDecoder decoder = new TargetResponseDecoder(this::bytesReceived);
    private final AnomalyReports reports;

    /** Ids of the requests sent last, the oldest first. */
    private final Set<String> recentIds = new LinkedHashSet<>();

    private Channel channel;
    private Optional<TargetExchange> current = Optional.empty();
    private Duration maxIdle = DEFAULT_MAX_IDLE;
    private Instant idleSince = Instant.MIN;
    private boolean closeAfterAnswer;
    private boolean readingInterim;
    private int interimResponses;
    /** Head of the response whose body is being read. */
    private Optional<HttpResponse> reading = Optional.empty();
    /**
     * True from the end of a call until the next call, the close or the first response decoded, which answers no call;
     * further ones are not reported.
     */
    private boolean betweenCalls;
    /** Bytes received since the end of the last call. */
    private int idleBytes;

    TargetConnection(TargetRef target, TargetConnections pool, CallDialect dialect, InstantSource clock) {
        this.target = target;
        this.pool = pool;
        this.dialect = dialect;
        this.clock = clock;
        this.reports = new AnomalyReports(dialect, clock, pool::anomalySeen);
    }

    /** Returns the reports of what the target sends beside or instead of its answers. */
    AnomalyReports reports() {
        return reports;
    }

    /** Returns the decoder to install ahead of this handler. */
    TargetResponseDecoder decoder() {
        return decoder;
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

    /**
     * Returns whether answers are told apart by the id, and a request with the given one was sent before. A late second
     * answer to it would pass for the answer to another request with this id.
     */
    boolean hasSent(String requestId) {
        return recentIds.contains(requestId);
    }

    private void remember(String requestId) {
        if (!dialect.answersCarryRequestId()) {
            return;
        }
        if (recentIds.size() == MAX_RECENT_IDS) {
            recentIds.remove(recentIds.iterator().next());
        }
        recentIds.add(requestId);
    }

    /** Assigns the connection to a call, which then sends its request. */
    void start(TargetExchange exchange) {
        current = Optional.of(exchange);
        interimResponses = 0;
        betweenCalls = false;
        String requestId = exchange.head().requestId();
        remember(requestId);
        reports.requestSent(requestId);
        exchange.connected(this);
    }

    /** Writes the head of a request; a failed write closes the connection. */
    void writeHead(HttpRequest request) {
        decoder.expectResponse(request.method());
        write(request);
    }

    void write(HttpObject message) {
        channel.write(message).addListener(done -> {
            if (!done.isSuccess()) {
                writeFailed(done.cause());
            }
        });
    }

    /** Writes a piece of the body and then runs {@code onWritten}; a failed write closes the connection. */
    void write(HttpContent message, Runnable onWritten) {
        channel.write(message).addListener(done -> {
            if (done.isSuccess()) {
                onWritten.run();
            } else {
                writeFailed(done.cause());
            }
        });
    }

    private void writeFailed(Throwable cause) {
        reportBrokenOff("write failed with " + cause.getClass().getSimpleName());
        channel.close();
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
        reading = Optional.empty();
        if (!reusable || closeAfterAnswer || decoder.inputEnded() || !channel.isActive()) {
            channel.close();
            return;
        }
        setReading(true);
        idleSince = clock.instant();
        idleBytes = 0;
        betweenCalls = true;
        if (decoder.undecodedBytes() > 0) {
            reports.leftoverBytes(decoder.undecodedBytes());
            closeAfterRead();
            return;
        }
        pool.idle(this);
    }

    /** Closes a connection that is not in the pool, after the bytes read with the present ones are reported. */
    private void closeAfterRead() {
        channel.eventLoop().execute(this::close);
    }

    void close() {
        betweenCalls = false;
        channel.close();
    }

    private void reportBrokenOff(String cause) {
        reading.ifPresent(response -> reports.brokenOff(cause, response));
    }

    /** Takes the connection out of the pool if no call is in progress: the bytes belong to no answer to come. */
    private void bytesReceived(int bytes) {
        if (current.isPresent()) {
            return;
        }
        if (idleBytes == 0) {
            pool.remove(this);
            closeAfterRead();
        }
        idleBytes += bytes;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (betweenCalls && idleBytes > 0) {
            reports.idleBytes(idleBytes, idleSince);
        }
        ctx.fireChannelReadComplete();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (current.isEmpty()) {
            // Unexpected bytes while idle: they could be taken for the answer to the next call.
            reportIdleObject((HttpObject) message);
            ReferenceCountUtil.release(message);
            ctx.close();
            return;
        }
        TargetExchange exchange = current.get();
        HttpObject object = (HttpObject) message;
        if (!channel.isActive()) {
            // At any close, the decoder ends an answer without a length as if it were complete; the target has ended
            // it only if its FIN was read, which leaves the connection half open.
            ReferenceCountUtil.release(message);
            reportBrokenOff("connection closed by this node");
            exchange.fail();
            return;
        }
        if (!object.decoderResult().isSuccess()) {
            ReferenceCountUtil.release(message);
            reports.undecodable(object.decoderResult().cause(), reading);
            exchange.fail();
            return;
        }
        if (object instanceof HttpResponse response) {
            if (MergedHeads.isMerged(response)) {
                reports.mergedHeads(response);
                exchange.fail();
                return;
            }
            if (hasUnexpectedForm(response)) {
                reports.unexpectedForm(response);
                exchange.fail();
                return;
            }
            readingInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (readingInterim) {
                countInterimResponse(exchange);
                return;
            }
            readKeepAlive(response);
            reading = Optional.of(response);
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
                reading = Optional.empty();
                exchange.answerComplete();
            }
        }
    }

    /** Returns whether a response switches to another protocol, which this node never asks for, or has no valid body. */
    private static boolean hasUnexpectedForm(HttpResponse response) {
        return response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
                || TargetResponseDecoder.announcesForbiddenBody(response);
    }

    private void reportIdleObject(HttpObject message) {
        if (!betweenCalls || !channel.isActive()) {
            return;
        }
        betweenCalls = false;
        reports.idleObject(message, idleBytes, idleSince);
    }

    private void countInterimResponse(TargetExchange exchange) {
        interimResponses++;
        if (interimResponses > MAX_INTERIM_RESPONSES) {
            reports.tooManyInterimResponses(interimResponses);
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
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            inputEnded();
        }
        ctx.fireUserEventTriggered(event);
    }

    /** Closes this node's side, too, after the target has closed its own. */
    private void inputEnded() {
        pool.remove(this);
        reportBrokenOff("connection closed");
        current.ifPresent(TargetExchange::fail);
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.remove(this);
        reportBrokenOff("connection closed");
        current.ifPresent(TargetExchange::fail);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        reportBrokenOff(cause.getClass().getSimpleName());
        // Fails the call before closing: at a close, the decoder ends an answer without a length as if it were
        // complete.
        current.ifPresent(TargetExchange::fail);
        ctx.close();
    }
}
