package org.heatherhaven.node.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

/**
 * The last response on a connection reaches a client that still sends its request. The connection was reset with bytes
 * of the request unread, and the end of the response was lost.
 */
class LingeringCloseTest {

    private static final Duration LONG = Duration.ofMinutes(5);
    private static final int REQUEST_BYTES = 8 << 20;
    private static final int RESPONSE_BYTES = 4 << 20;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);

    @AfterTry
    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Writes a response to the first bytes of a connection, and then closes it. */
    private final class Responder extends ChannelInboundHandlerAdapter {

        private final Duration maxTime;
        private final long maxBytes;
        private boolean responded;

        private Responder(Duration maxTime, long maxBytes) {
            this.maxTime = maxTime;
            this.maxBytes = maxBytes;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ReferenceCountUtil.release(message);
            if (!responded) {
                responded = true;
                LingeringClose.after(
                        ctx.writeAndFlush(Unpooled.wrappedBuffer(new byte[RESPONSE_BYTES])), maxTime, maxBytes);
            }
        }
    }

    private Socket connect(Duration maxTime, long maxBytes) throws IOException {
        Channel listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Responder(maxTime, maxBytes));
                    }
                })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .syncUninterruptibly()
                .channel();
        return new Socket(InetAddress.getLoopbackAddress(), ((InetSocketAddress) listener.localAddress()).getPort());
    }

    private static CompletableFuture<Long> sendInBackground(Socket socket, long bytes) {
        return CompletableFuture.supplyAsync(() -> {
            long sent = 0;
            try {
                OutputStream out = socket.getOutputStream();
                byte[] piece = new byte[64 * 1024];
                while (sent < bytes) {
                    out.write(piece);
                    sent += piece.length;
                }
            } catch (IOException e) {
                return -sent;
            }
            return sent;
        });
    }

    /** Reads until the connection has ended in either way. */
    private static void readToTheEnd(Socket socket) {
        try {
            socket.getInputStream().readAllBytes();
        } catch (IOException e) {
            // Cut off while it still sends, as the test expects.
            return;
        }
    }

    @Example
    void aClientThatStillSendsGetsTheWholeResponse() throws IOException {
        try (Socket socket = connect(LONG, Long.MAX_VALUE)) {
            CompletableFuture<Long> sent = sendInBackground(socket, REQUEST_BYTES);
            int received = socket.getInputStream().readAllBytes().length;
            if (received != RESPONSE_BYTES || sent.join() != REQUEST_BYTES) {
                throw new AssertionError("received " + received + " bytes, sent " + sent.join());
            }
        }
    }

    @Example
    void aClientThatNeverStopsSendingIsCutOffAfterALimit() throws IOException {
        try (Socket socket = connect(LONG, REQUEST_BYTES)) {
            long sent = sendInBackground(socket, Long.MAX_VALUE).join();
            if (sent >= 0) {
                throw new AssertionError("all was taken");
            }
        }
    }

    @Example
    void aClientThatKeepsItsSideOpenIsCutOffAfterATime() throws IOException {
        try (Socket socket = connect(Duration.ofMillis(1), Long.MAX_VALUE)) {
            CompletableFuture<Long> sent = sendInBackground(socket, Long.MAX_VALUE);
            readToTheEnd(socket);
            if (sent.join() >= 0) {
                throw new AssertionError("all was taken");
            }
        }
    }

    @Example
    void thePagesAnswerABodyThatIsTooLargeAndARequestThatIsNone() throws IOException {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        PageServer server = new PageServer(request -> {
            throw new AssertionError("the request reached a page");
        });
        server.listen(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        String large =
                "PUT /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " + REQUEST_BYTES + "\r\n\r\n";
        answered(port, large, "HTTP/1.1 413 ");
        answered(port, large.replace("Connection: close\r\n", ""), "HTTP/1.1 413 ");
        answered(port, "what is this\r\n\r\n", "HTTP/1.1 400 ");
        server.close();
    }

    private static void answered(int port, String head, String expected) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            CompletableFuture<Long> sent = sendInBackground(socket, REQUEST_BYTES);
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            if (!answer.startsWith(expected) || sent.join() != REQUEST_BYTES) {
                throw new AssertionError("received " + answer + ", sent " + sent.join() + " after " + head);
            }
        }
    }
}
