package org.heatherhaven.node.operator;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

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
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import org.heatherhaven.node.operator.OperatorDesk.Reply;

/** Listens for operators. */
public final class OperatorServer {

    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final String BEARER = "Bearer ";

    private final OperatorDesk desk;
    private final Optional<String> token;
    private Channel listener;

    /**
     * Creates a server that does not listen yet.
     *
     * @param desk answers the questions
     * @param token what operators must present, if configured
     */
    public OperatorServer(OperatorDesk desk, Optional<String> token) {
        this.desk = desk;
        this.token = token;
    }

    /**
     * Starts to listen.
     *
     * @param group threads of the connections
     * @param address where to listen
     */
    public void listen(EventLoopGroup group, InetSocketAddress address) {
        listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline()
                                .addLast(
                                        new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new Handler());
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /** Stops listening. */
    public void close() {
        listener.close();
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (!admitted(request)) {
                answer(ctx, OperatorDesk.problem(401, "the operators' token is missing or wrong"));
                return;
            }
            byte[] body = ByteBufUtil.getBytes(request.content());
            desk.handle(request.method().name(), request.uri(), body)
                    .whenComplete((reply, failure) -> answer(
                            ctx,
                            failure == null ? reply : OperatorDesk.problem(500, "the question can't be answered")));
        }

        private boolean admitted(FullHttpRequest request) {
            if (token.isEmpty()) {
                return true;
            }
            String presented = request.headers().get(HttpHeaderNames.AUTHORIZATION, "");
            return MessageDigest.isEqual(
                    presented.getBytes(StandardCharsets.UTF_8),
                    (BEARER + token.get()).getBytes(StandardCharsets.UTF_8));
        }

        private void answer(ChannelHandlerContext ctx, Reply reply) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(reply.status()),
                    Unpooled.wrappedBuffer(reply.body()));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                    .set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
