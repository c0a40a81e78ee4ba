package org.heatherhaven.standin.http;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
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
     */
    public record Reply(int status, Map<String, String> headers, byte[] body) {

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
                                        new HttpServerCodec(),
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

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
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
