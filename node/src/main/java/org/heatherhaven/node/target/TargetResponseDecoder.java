package org.heatherhaven.node.target;

import java.util.Optional;
import java.util.function.IntConsumer;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;

/** Decodes a target's responses, and shows how many bytes it received and how many it holds undecoded. */
final class TargetResponseDecoder extends HttpResponseDecoder {

    private static final int MAX_LINE_CHARS = 8 * 1024;
    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int MAX_CHUNK_BYTES = 32 * 1024;

    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.\\d");
    /** Three digits, the first of which is one of the five classes (RFC 9112, 4 and RFC 9110, 15). */
    private static final Pattern STATUS_CODE = Pattern.compile("[1-5]\\d\\d");

    private final IntConsumer onBytes;
    /** Method of the request sent last; empty before the first. */
    private Optional<HttpMethod> requested = Optional.empty();

    private boolean inputEnded;

    /**
     * Creates the decoder of one connection.
     *
     * @param onBytes receives the number of bytes of each read, before they are decoded
     */
    TargetResponseDecoder(IntConsumer onBytes) {
        super(MAX_LINE_CHARS, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
        this.onBytes = onBytes;
    }

    /**
     * Announces the responses to a request of the given method, which decides whether they have a body. It holds for
     * each of them: the response to the request may come after one to another call.
     */
    void expectResponse(HttpMethod method) {
        requested = Optional.of(method);
    }

    /** Returns the number of bytes received and not yet decoded. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    /** Returns whether the target has closed its side of the connection normally, by a FIN. */
    boolean inputEnded() {
        return inputEnded;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
        inputEnded |= event instanceof ChannelInputShutdownEvent;
        super.userEventTriggered(ctx, event);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (message instanceof ByteBuf bytes) {
            onBytes.accept(bytes.readableBytes());
        }
        super.channelRead(ctx, message);
    }

    /**
     * Rejects a line that is no status line. The inherited method accepts every integer as a status code and every word
     * as a protocol, so that a damaged line would be rewritten into another status.
     */
    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        String version = statusLine[0];
        String status = statusLine[1];
        if (!VERSION.matcher(version).matches() || !STATUS_CODE.matcher(status).matches()) {
            throw new IllegalArgumentException("no status line of HTTP/1.x");
        }
        return super.createMessage(statusLine);
    }

    /** Returns whether the head of a response announces a body that its status rules out (RFC 9110, 15.3.5 and 15.3.6). */
    static boolean announcesForbiddenBody(HttpResponse response) {
        HttpResponseStatus status = response.status();
        boolean bodiless =
                status.equals(HttpResponseStatus.NO_CONTENT) || status.equals(HttpResponseStatus.RESET_CONTENT);
        return bodiless
                && (HttpUtil.isTransferEncodingChunked(response) || HttpUtil.getContentLength(response, 0L) > 0);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        HttpResponseStatus status = ((HttpResponse) message).status();
        if (status.codeClass() == HttpStatusClass.INFORMATIONAL) {
            return super.isContentAlwaysEmpty(message);
        }
        if (announcesForbiddenBody((HttpResponse) message)) {
            // The inherited method would drop the body, and the success would seem whole without it.
            return false;
        }
        boolean bodiless = requested.filter(HttpMethod.HEAD::equals).isPresent()
                || requested.filter(HttpMethod.CONNECT::equals).isPresent() && status.equals(HttpResponseStatus.OK);
        return bodiless || super.isContentAlwaysEmpty(message);
    }
}
