package org.heatherhaven.standin.target;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.heatherhaven.standin.http.AnswerFault;

/** Guards the bytes that a target with faults sends. */
class TargetFaultsTest {

    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain; charset=utf-8\r\nheatherhaven-context: c1\r\n";
    private static final String BODY = "s:1:0-0:0:";
    private static final String ANSWER = HEAD + "Content-Length: 10\r\n\r\n" + BODY;

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final TargetServer target = new TargetServer(
            new TargetBehavior("s", 1, Duration.ofMillis(1), Map.of()), "http://127.0.0.1:1", group, 1);
    private final InetSocketAddress address = target.listen(new InetSocketAddress("127.0.0.1", 0));

    @AfterTry
    void close() {
        target.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static void send(OutputStream out, String method, String path, String body) throws IOException {
        out.write((method + " " + path + " HTTP/1.1\r\nHost: a\r\nHeatherhaven-Context: c1\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads as many bytes as a text has, and checks that they are the text. */
    private static void read(Socket socket, String expected) throws IOException {
        String seen = new String(socket.getInputStream().readNBytes(expected.length()), StandardCharsets.US_ASCII);
        if (!seen.equals(expected)) {
            throw new AssertionError("expected " + expected + ", saw " + seen);
        }
    }

    /** Checks the bytes sent for a call, and those sent before the answer to the next request. */
    private void expect(AnswerFault fault, String now, String beforeNext, boolean closes) throws IOException {
        target.setFaults(new TargetFaults(Map.of(fault, 1.0)));
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            send(socket.getOutputStream(), "GET", "/x?id=1", "");
            read(socket, now);
            if (closes) {
                if (socket.getInputStream().read() >= 0) {
                    throw new AssertionError("more bytes after " + now);
                }
                return;
            }
            send(socket.getOutputStream(), "POST", "/faults", "{}");
            read(socket, beforeNext + "HTTP/1.1 204 No Content\r\n");
        }
    }

    @Example
    void aTargetSendsTheBytesOfItsFault() throws IOException {
        expect(AnswerFault.COPY, ANSWER + ANSWER, "", false);
        expect(AnswerFault.LATE_COPY, ANSWER, ANSWER, false);
        expect(AnswerFault.NO_LENGTH, HEAD + "\r\n" + BODY, "", true);
        expect(AnswerFault.NO_HTTP, "no answer in any protocol\r\n\r\n", "", false);
    }

    @Example
    void faultsAreSetByAnHttpRequestWithTheirNames() throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            send(socket.getOutputStream(), "POST", "/faults", "{\"late-copy\":0.5,\"copy\":0.5}");
            read(socket, "HTTP/1.1 204 No Content\r\n");
        }
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            send(socket.getOutputStream(), "POST", "/faults", "{\"no-such-fault\":0.5}");
            read(socket, "HTTP/1.1 400 Bad Request\r\n");
        }
    }
}
