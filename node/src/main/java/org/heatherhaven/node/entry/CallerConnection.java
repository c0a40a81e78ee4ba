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

/** A caller's connection: processes one call at a time and queues pipelined requests. */
final class CallerConnection extends ChannelInboundHandlerAdapter {

    /** Reading is paused while more HTTP objects (heads and pieces of bodies) than this are queued. */
    private static final int MAX_QUEUED_OBJECTS = 64;

    private static final String NO_REQUEST_ID = "none";

    private final EntryPoint entryPoint;
    private final EntrySettings settings;
    private final EntryCalls calls;
    private final Queue<HttpObject> queued = new ArrayDeque<>();
    private EntryExchange current;
    private boolean closing;

    CallerConnection(EntryPoint entryPoint, EntrySettings settings, EntryCalls calls) {
        this.entryPoint = entryPoint;
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
            if (queued.size() > MAX_QUEUED_OBJECTS) {
                ctx.channel().config().setAutoRead(false);
            }
            return;
        }
        process(ctx, object);
    }

    private void process(ChannelHandlerContext ctx, HttpObject object) {
        if (!object.decoderResult().isSuccess()) {
            handleMalformed(ctx, object);
            return;
        }
        if (object instanceof HttpRequest request) {
            beginCall(ctx, request);
        }
        if (object instanceof HttpContent content) {
            if (current == null) {
                content.release();
            } else {
                current.body(content.content(), object instanceof LastHttpContent);
            }
        }
    }

    private void handleMalformed(ChannelHandlerContext ctx, HttpObject object) {
        boolean tooLong = object.decoderResult().cause() instanceof TooLongFrameException;
        String requestId = object instanceof HttpRequest request ? requestId(request) : NO_REQUEST_ID;
        ReferenceCountUtil.release(object);
        Reason reason = tooLong ? Reason.TOO_LARGE : Reason.BAD_REQUEST;
        if (current != null) {
            // The call is in progress already; closing the connection ends it like a departed caller.
            ctx.close();
            return;
        }
        refuseAndClose(
                ctx,
                requestId,
                Refusal.notRun(reason, tooLong ? "the head of the request is too large" : "not HTTP/1.1"));
    }

    /** Returns the identifier of a request as far as its head was read. */
    private String requestId(HttpRequest request) {
        return calls.dialect().requestId(request.headers()).orElse(NO_REQUEST_ID);
    }

    private void beginCall(ChannelHandlerContext ctx, HttpRequest request) {
        String requestId = requestId(request);
        if (HttpUtil.getContentLength(request, 0L) > settings.maxBodyBytes()) {
            refuseAndClose(
                    ctx, requestId, Refusal.notRun(Reason.TOO_LARGE, "the body is larger than this node accepts"));
            return;
        }
        if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !request.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            refuseAndClose(ctx, requestId, Refusal.notRun(Reason.BAD_REQUEST, "not HTTP/1.1"));
            return;
        }
        if (!isPath(request.uri())) {
            refuseAndClose(ctx, requestId, Refusal.notRun(Reason.BAD_REQUEST, "the request target is not a path"));
            return;
        }
        CallRequest call;
        try {
            call = calls.dialect().readRequest(entryPoint, request.method().name(), request.uri(), request.headers());
        } catch (BadCallException e) {
            refuseAndClose(ctx, requestId, Refusal.notRun(Reason.BAD_REQUEST, e.getMessage()));
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        boolean bodyExpected =
                HttpUtil.isTransferEncodingChunked(request) || HttpUtil.getContentLength(request, 0L) > 0;
        EntryExchange exchange = new EntryExchange(
                calls.nextCallNumber(),
                requestId,
                ctx.channel(),
                calls,
                bodyExpected,
                settings.maxBodyBytes(),
                this::exchangeEnded);
        exchange.keepAlive(HttpUtil.isKeepAlive(request));
        current = exchange;
        if (!calls.register(exchange, entryPoint, call)) {
            current = null;
            refuseAndClose(ctx, requestId, Refusal.notRun(Reason.NODE_OVERLOADED, "this node is overloaded"));
        }
    }

    /**
     * Returns whether a request target is a path of visible ASCII characters (RFC 3986, 2). Other bytes would reach the
     * target in another encoding.
     */
    private static boolean isPath(String uri) {
        return uri.startsWith("/") && uri.chars().allMatch(c -> c >= '!' && c <= '~');
    }

    /** Refuses a request that did not become a call, and closes the connection. */
    private void refuseAndClose(ChannelHandlerContext ctx, String requestId, Refusal refusal) {
        closing = true;
        calls.countRefusal(refusal.reason());
        ClosingResponse.writeAndClose(ctx.channel(), calls.dialect().writeRefusal(refusal, requestId, 0));
    }

    /**
     * Processes the requests queued behind a call that has ended.
     *
     * @param exchange the call
     * @param reusable true if the connection stays open for further calls
     */
    private void exchangeEnded(EntryExchange exchange, boolean reusable) {
        if (current != exchange) {
            return;
        }
        current = null;
        if (!reusable) {
            closing = true;
            releaseQueued();
            return;
        }
        ChannelHandlerContext ctx = exchange.channel().pipeline().context(this);
        while (ctx != null && !queued.isEmpty() && !(current != null && queued.peek() instanceof HttpRequest)) {
            process(ctx, queued.poll());
            if (closing) {
                // The connection closes after this refusal, so what follows could not be answered.
                releaseQueued();
            }
        }
        exchange.channel().config().setAutoRead(queued.size() <= MAX_QUEUED_OBJECTS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (current != null) {
            current.callerGone();
        }
        releaseQueued();
    }

    private void releaseQueued() {
        queued.forEach(ReferenceCountUtil::release);
        queued.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
