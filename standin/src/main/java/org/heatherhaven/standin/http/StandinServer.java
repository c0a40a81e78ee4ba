package org.heatherhaven.standin.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.GlobalEventExecutor;

/** An HTTP server that reads whole requests and writes whole responses. */
public final class StandinServer {

    private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;

    private final Function<Request, CompletableFuture<Reply>> handler;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private Channel listener;

    /**
     * Creates a server that does not listen yet.
     *
     * @param handler answers requests; a future that fails or is cancelled closes the connection without a response
     */
    public StandinServer(Function<Request, CompletableFuture<Reply>> handler) {
        this.handler = handler;
    }

    /**
     * A whole HTTP request.
     *
     * @param method HTTP method
     * @param path decoded path
     * @param query first value of each query parameter
     * @param headers headers, names in lower case
     * @param body whole body
     * @param connectionClosed completes when the connection is closed
     */
    public record Request(
            String method,
            String path,
            Map<String, String> query,
            Map<String, String> headers,
            byte[] body,
            CompletableFuture<Void> connectionClosed) {}

    /**
     * A whole HTTP response.
     *
     * @param status HTTP status
     * @param headers headers other than Content-Length
     * @param body whole body
     * @param fault fault in the way it is sent, if any
     */
    public record Reply(int status, Map<String, String> headers, byte[] body, Optional<AnswerFault.Choice> fault) {

        /**
         * Creates a response that is sent without a fault.
         *
         * @param status HTTP status
         * @param headers headers other than Content-Length
         * @param body whole body
         */
        public Reply(int status, Map<String, String> headers, byte[] body) {
            this(status, headers, body, Optional.empty());
        }

        /**
         * Returns a response without further headers.
         *
         * @param status HTTP status
         * @param body whole body
         * @return the response
         */
        public static Reply of(int status, byte[] body) {
            return new Reply(status, Map.of(), body);
        }
    }

    /**
     * Starts to listen.
     *
     * @param group threads of the connections
     * @param address address to bind; port 0 for any free port
     * @return bound address
     */
    public InetSocketAddress listen(EventLoopGroup group, InetSocketAddress address) {
        listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1_024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        connections.add(ch);
                        ch.pipeline()
                                .addLast(
                                        new HttpRequestDecoder(),
                                        new HttpResponseEncoder(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new RequestHandler());
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        return (InetSocketAddress) listener.localAddress();
    }

    /** Stops listening and closes all connections. */
    public void close() {
        listener.close().syncUninterruptibly();
        connections.close().awaitUninterruptibly(1_000);
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        /** Bytes of an earlier answer's fault that are sent when the next request arrives. */
        private ByteBuf heldBack = Unpooled.EMPTY_BUFFER;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (heldBack.isReadable()) {
                writeRaw(ctx, heldBack);
                heldBack = Unpooled.EMPTY_BUFFER;
            }
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            Map<String, String> query = new HashMap<>();
            uri.parameters().forEach((name, values) -> query.put(name, values.get(0)));
            Map<String, String> headers = new HashMap<>();
            request.headers().forEach(header -> headers.put(header.getKey().toLowerCase(), header.getValue()));
            CompletableFuture<Void> connectionClosed = new CompletableFuture<>();
            ctx.channel().closeFuture().addListener(closed -> connectionClosed.complete(null));
            byte[] body = ByteBufUtil.getBytes(request.content());
            handler.apply(new Request(request.method().name(), uri.path(), query, headers, body, connectionClosed))
                    .whenComplete((reply, failure) -> {
                        if (failure != null) {
                            ctx.close();
                        } else {
                            write(ctx, reply);
                        }
                    });
        }

        private void write(ChannelHandlerContext ctx, Reply reply) {
            reply.fault().ifPresentOrElse(choice -> writeFaulty(ctx, reply, choice), () -> writeWhole(ctx, reply));
        }

        private void writeFaulty(ChannelHandlerContext ctx, Reply reply, AnswerFault.Choice choice) {
            AnswerFault.Transmission bytes = choice.fault().apply(head(reply), reply.body(), choice.cutAt());
            ctx.executor().execute(() -> {
                if (ctx.isRemoved()) {
                    return;
                }
                heldBack = Unpooled.wrappedBuffer(bytes.beforeNextAnswer());
                ChannelFuture written = writeRaw(ctx, Unpooled.wrappedBuffer(bytes.now()));
                if (bytes.close()) {
                    written.addListener(ChannelFutureListener.CLOSE);
                }
            });
        }

        /** Returns the status line and the headers of a response, without its length. */
        private static byte[] head(Reply reply) {
            StringBuilder head = new StringBuilder("HTTP/1.1 ")
                    .append(HttpResponseStatus.valueOf(reply.status()))
                    .append("\r\n");
            reply.headers()
                    .forEach((name, value) ->
                            head.append(name).append(": ").append(value).append("\r\n"));
            return head.toString().getBytes(StandardCharsets.US_ASCII);
        }

        /** Writes bytes past the encoder, which accepts only whole messages. */
        private static ChannelFuture writeRaw(ChannelHandlerContext ctx, ByteBuf bytes) {
            return ctx.pipeline().context(HttpResponseEncoder.class).writeAndFlush(bytes);
        }

        private static void writeWhole(ChannelHandlerContext ctx, Reply reply) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(reply.status()),
                    Unpooled.wrappedBuffer(reply.body()));
            reply.headers().forEach((name, value) -> response.headers().set(name, value));
            response.headers().set("Content-Length", reply.body().length);
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
