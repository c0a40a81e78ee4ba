package org.heatherhaven.node.http;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** HTTP server for small requests; bodies up to 1 MiB are read whole. */
public final class PageServer {

    private static final Logger LOGGER = LoggerFactory.getLogger(PageServer.class);
    private static final int MAX_BODY_BYTES = 1 << 20;

    private final PageHandler pages;
    private Channel listener;

    /**
     * Creates a server that does not listen yet.
     *
     * @param pages handles the requests
     */
    public PageServer(PageHandler pages) {
        this.pages = pages;
    }

    /**
     * Starts to listen.
     *
     * @param group event loops of the listener and its connections
     * @param address address to listen at
     */
    public void listen(EventLoopGroup group, InetSocketAddress address) {
        listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new HttpServerCodec(), new BodyLimit(), new Handler());
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /** Stops listening; open connections remain. */
    public void close() {
        listener.close();
    }

    /** Answers with a status and closes the connection. */
    private static void closeWith(ChannelHandlerContext ctx, HttpResponseStatus status) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, 0)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        LingeringClose.after(ctx.writeAndFlush(response));
    }

    /** Collects a request with its body, and refuses one whose body is too large. */
    private static final class BodyLimit extends HttpObjectAggregator {

        private BodyLimit() {
            super(MAX_BODY_BYTES);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            ReferenceCountUtil.release(oversized);
            closeWith(ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

        /** Completes once the replies to all requests before the next one are written: HTTP pairs them by order. */
        private CompletableFuture<Void> lastWrite = CompletableFuture.completedFuture(null);

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (!request.decoderResult().isSuccess()) {
                closeWith(ctx, HttpResponseStatus.BAD_REQUEST);
                return;
            }
            PageHandler.Request pageRequest = new PageHandler.Request(
                    request.method().name(),
                    request.uri(),
                    BearerKey.of(request.headers()),
                    ByteBufUtil.getBytes(request.content()));
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            CompletableFuture<PageReply> reply = pages.handle(pageRequest).exceptionally(failure -> {
                LOGGER.warn("Handling {} {} failed", pageRequest.method(), pageRequest.path(), failure);
                return PageReply.empty(HttpResponseStatus.INTERNAL_SERVER_ERROR.code());
            });
            // On the event loop always: a write from another thread is queued, and one from the loop would overtake it.
            lastWrite = lastWrite.thenCombineAsync(
                    reply,
                    (previous, next) -> {
                        writeReply(ctx, keepAlive, next);
                        return previous;
                    },
                    ctx.executor());
        }

        private void writeReply(ChannelHandlerContext ctx, boolean keepAlive, PageReply reply) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(reply.status()),
                    Unpooled.wrappedBuffer(reply.body()));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, reply.contentType())
                    .set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
            if (keepAlive) {
                ctx.writeAndFlush(response);
            } else {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                LingeringClose.after(ctx.writeAndFlush(response));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOGGER.debug("A connection of the page server failed: {}", cause.toString());
            ctx.close();
        }
    }
}
