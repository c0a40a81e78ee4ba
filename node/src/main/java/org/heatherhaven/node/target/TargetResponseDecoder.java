package org.heatherhaven.node.target;

import java.util.Optional;
import java.util.function.IntConsumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;

/** Decodes a target's responses, and shows how many bytes it received and how many it holds undecoded. */
final class TargetResponseDecoder extends HttpResponseDecoder {

    private static final int MAX_LINE_CHARS = 8 * 1024;
    private static final int MAX_HEADER_BYTES = 64 * 1024;
    private static final int MAX_CHUNK_BYTES = 32 * 1024;

    private final IntConsumer onBytes;
    /** Method of the request whose response is expected next; empty once its head was decoded. */
    private Optional<HttpMethod> expected = Optional.empty();

    /**
     * Creates the decoder of one connection.
     *
     * @param onBytes receives the number of bytes of each read, before they are decoded
     */
    TargetResponseDecoder(IntConsumer onBytes) {
        super(MAX_LINE_CHARS, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
        this.onBytes = onBytes;
    }

    /** Announces the response to a request of the given method, which decides whether the response has a body. */
    void expectResponse(HttpMethod method) {
        expected = Optional.of(method);
    }

    /** Returns the number of bytes received and not yet decoded. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (message instanceof ByteBuf bytes) {
            onBytes.accept(bytes.readableBytes());
        }
        super.channelRead(ctx, message);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        HttpResponseStatus status = ((HttpResponse) message).status();
        if (status.codeClass() == HttpStatusClass.INFORMATIONAL) {
            return super.isContentAlwaysEmpty(message);
        }
        Optional<HttpMethod> method = expected;
        expected = Optional.empty();
        boolean bodiless = method.filter(HttpMethod.HEAD::equals).isPresent()
                || method.filter(HttpMethod.CONNECT::equals).isPresent() && status.equals(HttpResponseStatus.OK);
        return bodiless || super.isContentAlwaysEmpty(message);
    }
}
