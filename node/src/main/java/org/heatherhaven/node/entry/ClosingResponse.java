package org.heatherhaven.node.entry;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import org.heatherhaven.node.http.LingeringClose;

/** Writes the last response on a connection. */
final class ClosingResponse {

    private ClosingResponse() {}

    /** Writes a response with {@code Connection: close} and then closes the connection. */
    static void writeAndClose(Channel channel, HttpResponse response) {
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        LingeringClose.after(channel.writeAndFlush(response));
    }
}
