package org.heatherhaven.node.http;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes a server's connection after its last response, in the way of RFC 9112, 9.6.
 *
 * <p>If a connection is closed with bytes of the client unread, the kernel resets it, and the client can lose the end of
 * the response. So only this side is shut down at first, and what the client still sends is read and discarded until it
 * closes its side. The time and the number of bytes are limited, as a client may never stop. The bytes count from the
 * start of the last write, which a client that only sends would otherwise hold up for good.
 */
public final class LingeringClose {

    private static final Duration MAX_TIME = Duration.ofSeconds(5);
    private static final long MAX_DISCARDED_BYTES = 64L << 20;

    private LingeringClose() {}

    /**
     * Closes a connection once its last response is written, or at once if the write fails.
     *
     * @param lastWrite write of the end of the response
     */
    public static void after(ChannelFuture lastWrite) {
        after(lastWrite, MAX_TIME, MAX_DISCARDED_BYTES);
    }

    static void after(ChannelFuture lastWrite, Duration maxTime, long maxBytes) {
        Channel channel = lastWrite.channel();
        channel.pipeline().addFirst(new Discard(maxBytes));
        channel.config().setAutoRead(true);
        lastWrite.addListener(done -> {
            if (!done.isSuccess() || !(channel instanceof DuplexChannel duplex) || !channel.isActive()) {
                channel.close();
                return;
            }
            duplex.shutdownOutput();
            channel.eventLoop().schedule(() -> channel.close(), maxTime.toMillis(), TimeUnit.MILLISECONDS);
        });
    }

    /** Discards what the client sends; at the client's end of the connection, Netty closes the channel. */
    private static final class Discard extends ChannelInboundHandlerAdapter {

        private final long maxBytes;
        private long discardedBytes;

        private Discard(long maxBytes) {
            this.maxBytes = maxBytes;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            discardedBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
            ReferenceCountUtil.release(message);
            if (discardedBytes > maxBytes) {
                ctx.close();
            }
        }
    }
}
