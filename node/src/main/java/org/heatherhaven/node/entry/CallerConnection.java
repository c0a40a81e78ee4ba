package org.heatherhaven.node.entry;

import java.util.ArrayDeque;
import java.util.Queue;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.heatherhaven.core.event.TrafficEvent.CallRequest;
import org.heatherhaven.core.event.TrafficEvent.EntryPoint;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.node.http.BadCallException;

/** A caller's connection: one call after another, pipelined requests wait their turn. */
final class CallerConnection extends ChannelInboundHandlerAdapter {

    private static final int MAX_QUEUED = 64;
    private static final String NO_ID = "none";

    private final EntryPoint door;
    private final EntrySettings settings;
    private final EntryCalls calls;
    private final Queue<HttpObject> queued = new ArrayDeque<>();
    private EntryExchange current;
    private boolean closing;

    CallerConnection(EntryPoint door, EntrySettings settings, EntryCalls calls) {
        this.door = door;
        this.settings = settings;
        this.calls = calls;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        HttpObject object = (HttpObject) message;
        if (closing) {
            ReferenceCountUtil.release(object);
            return;
        }
        boolean next = object instanceof HttpRequest || !queued.isEmpty();
        if (current != null && next) {
            queued.add(object);
            if (queued.size() > MAX_QUEUED) {
                ctx.channel().config().setAutoRead(false);
            }
            return;
        }
        take(ctx, object);
    }

    private void take(ChannelHandlerContext ctx, HttpObject object) {
        if (!object.decoderResult().isSuccess()) {
            malformed(ctx, object);
            return;
        }
        if (object instanceof HttpRequest request) {
            begin(ctx, request);
        }
        if (object instanceof HttpContent content) {
            if (current == null) {
                content.release();
            } else {
                current.body(content.content(), object instanceof LastHttpContent);
            }
        }
    }

    private void malformed(ChannelHandlerContext ctx, HttpObject object) {
        boolean tooLong = object.decoderResult().cause() instanceof TooLongFrameException;
        ReferenceCountUtil.release(object);
        Reason reason = tooLong ? Reason.TOO_LARGE : Reason.BAD_REQUEST;
        if (current != null) {
            // The head was fine and the call is under way; it ends as if its caller had left.
            ctx.close();
            return;
        }
        turnAway(ctx, Refusal.notRun(reason, tooLong ? "the head of the request is too large" : "not HTTP/1.1"));
    }

    private void begin(ChannelHandlerContext ctx, HttpRequest request) {
        if (HttpUtil.getContentLength(request, 0L) > settings.maxBodyBytes()) {
            turnAway(ctx, Refusal.notRun(Reason.TOO_LARGE, "the body is larger than this node accepts"));
            return;
        }
        if (!request.uri().startsWith("/")) {
            turnAway(ctx, Refusal.notRun(Reason.BAD_REQUEST, "the request target is not a path"));
            return;
        }
        CallRequest call;
        try {
            call = calls.dialect().readRequest(door, request.method().name(), request.uri(), request.headers());
        } catch (BadCallException e) {
            turnAway(ctx, Refusal.notRun(Reason.BAD_REQUEST, e.getMessage()));
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        boolean bodyExpected =
                HttpUtil.isTransferEncodingChunked(request) || HttpUtil.getContentLength(request, 0L) > 0;
        EntryExchange exchange = new EntryExchange(
                calls.nextNumber(), ctx.channel(), calls, bodyExpected, settings.maxBodyBytes(), this::finished);
        exchange.keepAlive(HttpUtil.isKeepAlive(request));
        current = exchange;
        if (!calls.enter(exchange, door, call)) {
            current = null;
            turnAway(ctx, Refusal.notRun(Reason.NODE_OVERLOADED, "this node is overloaded"));
        }
    }

    private void turnAway(ChannelHandlerContext ctx, Refusal refusal) {
        closing = true;
        calls.countRefusal(refusal.reason());
        LastAnswer.writeAndClose(ctx.channel(), calls.dialect().writeRefusal(refusal, NO_ID, 0));
    }

    /** The call is over; the next one may be waiting already. */
    private void finished(EntryExchange exchange, boolean reusable) {
        if (current != exchange) {
            return;
        }
        current = null;
        if (!reusable) {
            closing = true;
            release();
            return;
        }
        ChannelHandlerContext ctx = exchange.channel().pipeline().context(this);
        while (ctx != null && !queued.isEmpty() && !(current != null && queued.peek() instanceof HttpRequest)) {
            take(ctx, queued.poll());
        }
        exchange.channel().config().setAutoRead(queued.size() <= MAX_QUEUED);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (current != null) {
            current.callerGone();
        }
        release();
    }

    private void release() {
        queued.forEach(ReferenceCountUtil::release);
        queued.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
