package org.heatherhaven.node.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

/** Guards that each request on a connection gets its own reply. */
class PageServerTest {

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final CompletableFuture<PageReply> slowReply = new CompletableFuture<>();

    @AfterTry
    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static PageReply reply(String text) {
        return PageReply.json(200, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Replies to {@code /slow} only after {@code /fast} was handled. */
    private CompletableFuture<PageReply> handle(PageHandler.Request request) {
        if (request.path().equals("/slow")) {
            return slowReply;
        }
        group.execute(() -> slowReply.complete(reply("\"slow\"")));
        return CompletableFuture.completedFuture(reply("\"fast\""));
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    @Example
    void pipelinedRequestsAreAnsweredInTheirOrderThoughTheSecondIsHandledFirst() throws IOException {
        expectOrder(this::handle);
    }

    private void expectOrder(PageHandler pages) throws IOException {
        PageServer server = new PageServer(pages);
        InetSocketAddress address = freeAddress();
        server.listen(group, address);
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            String requests = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"
                    + "GET /fast HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(requests.getBytes(StandardCharsets.US_ASCII));
            String answers = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            int slow = answers.indexOf("\"slow\"");
            int fast = answers.indexOf("\"fast\"");
            if (slow < 0 || fast < slow) {
                throw new AssertionError("answers: " + answers.replace("\r\n", "|"));
            }
        } finally {
            server.close();
        }
    }

    /** Completes the reply to {@code /slow} on another thread while the event loop handles the request after it. */
    private CompletableFuture<PageReply> handleWhileAnotherThreadReplies(PageHandler.Request request) {
        if (request.path().equals("/slow")) {
            return slowReply;
        }
        CompletableFuture.runAsync(() -> slowReply.complete(reply("\"slow\"")), task -> new Thread(task).start())
                .join();
        return CompletableFuture.completedFuture(reply("\"fast\""));
    }

    @Example
    void aReplyOfAnotherThreadIsNotOvertakenOnTheEventLoop() throws IOException {
        expectOrder(this::handleWhileAnotherThreadReplies);
    }
}
