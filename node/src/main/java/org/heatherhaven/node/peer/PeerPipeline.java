package org.heatherhaven.node.peer;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.IdleStateHandler;
import org.heatherhaven.node.wire.FrameCodec;
import org.heatherhaven.node.wire.Handshake;
import org.heatherhaven.node.wire.MessageParts;

/** Builds the Netty pipeline of a connection between nodes. */
final class PeerPipeline {

    /** A connection with open calls is closed if nothing is received for this long. */
    static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(5);

    /** A keepalive frame is sent if nothing was written for this long while calls are open. */
    private static final int KEEPALIVE_INTERVAL_SECONDS = 1;

    private PeerPipeline() {}

    /**
     * Adds the handlers of a connection.
     *
     * @param pipeline pipeline of the new channel
     * @param settings settings of the connection
     * @param initiator true if this node opened the connection
     * @param frameHandler handles the frames after the handshake
     * @param onAuthenticated called once the peer is authenticated
     */
    static void build(
            ChannelPipeline pipeline,
            PeerSettings settings,
            boolean initiator,
            ChannelHandler frameHandler,
            Consumer<ChannelHandlerContext> onAuthenticated) {
        if (initiator) {
            settings.clientTls()
                    .ifPresent(tls ->
                            pipeline.addLast(tls.newHandler(pipeline.channel().alloc())));
        } else {
            settings.serverTls()
                    .ifPresent(tls ->
                            pipeline.addLast(tls.newHandler(pipeline.channel().alloc())));
        }
        pipeline.addLast(
                new FlushConsolidationHandler(FlushConsolidationHandler.DEFAULT_EXPLICIT_FLUSH_AFTER_FLUSHES, true));
        pipeline.addLast(
                new IdleStateHandler(SILENCE_TIMEOUT.toSeconds(), KEEPALIVE_INTERVAL_SECONDS, 0, TimeUnit.SECONDS));
        pipeline.addLast(new FrameCodec(settings.maxFrameBytes()));
        pipeline.addLast(new Handshake(initiator, settings.hello(), settings.secrets(), onAuthenticated));
        pipeline.addLast(new MessageParts(settings.maxFrameBytes()));
        pipeline.addLast(frameHandler);
    }
}
