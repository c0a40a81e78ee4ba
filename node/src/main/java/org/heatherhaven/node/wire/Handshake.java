package org.heatherhaven.node.wire;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Authenticates a connection between two nodes: each side proves that it has a secret of the fleet.
 *
 * <p>The initiator sends its hello, the acceptor responds with its hello and its proof, and the initiator sends its
 * proof. Any other frame before the end of the handshake is an error. The handler removes itself once the peer is
 * authenticated, and closes the connection if that takes longer than the timeout.
 */
public final class Handshake extends ChannelInboundHandlerAdapter {

    /** Time from the opening of the connection until the peer must be authenticated. */
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    private static final String INITIATOR = "initiator";
    private static final String ACCEPTOR = "acceptor";
    private static final int NONCE_BYTES = 16;

    private final boolean initiator;
    private final Hello localHello;
    private final FleetSecrets secrets;
    private final Consumer<ChannelHandlerContext> onAuthenticated;
    private Hello remoteHello;

    /**
     * Creates the handshake of one connection.
     *
     * @param initiator true on the side that opened the connection
     * @param localHello hello of this node
     * @param secrets secrets of the fleet
     * @param onAuthenticated called on the event loop once the peer is authenticated, before this handler is removed
     */
    public Handshake(
            boolean initiator,
            Hello localHello,
            FleetSecrets secrets,
            Consumer<ChannelHandlerContext> onAuthenticated) {
        this.initiator = initiator;
        this.localHello = localHello;
        this.secrets = secrets;
        this.onAuthenticated = onAuthenticated;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        if (initiator) {
            ctx.writeAndFlush(Frame.of(FrameType.HELLO, 0, localHello));
        }
        ctx.executor()
                .schedule(
                        () -> {
                            if (ctx.pipeline().context(this) != null) {
                                ctx.close();
                            }
                        },
                        TIMEOUT.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        Frame frame = (Frame) message;
        if (frame.type() == FrameType.HELLO && remoteHello == null) {
            remoteHello = (Hello) frame.payload();
            if (remoteHello.nonce().length != NONCE_BYTES) {
                throw new WireException(
                        WireException.Code.NOT_AUTHENTICATED, "the nonce of the peer has the wrong length");
            }
            if (!initiator) {
                ctx.write(Frame.of(FrameType.HELLO, 0, localHello));
                ctx.writeAndFlush(Frame.of(FrameType.PROOF, 0, secrets.createProof(ACCEPTOR, localHello, remoteHello)));
            }
        } else if (frame.type() == FrameType.PROOF && remoteHello != null) {
            finish(ctx, (Proof) frame.payload());
        } else {
            frame.data().release();
            throw new WireException(
                    WireException.Code.NOT_AUTHENTICATED,
                    "the peer sent " + frame.type() + " before it was authenticated");
        }
    }

    private void finish(ChannelHandlerContext ctx, Proof proof) {
        if (!secrets.verify(proof, initiator ? ACCEPTOR : INITIATOR, remoteHello, localHello)) {
            throw new WireException(
                    WireException.Code.NOT_AUTHENTICATED, "the peer's proof matches none of the fleet secrets");
        }
        if (initiator) {
            ctx.writeAndFlush(Frame.of(FrameType.PROOF, 0, secrets.createProof(INITIATOR, localHello, remoteHello)));
        }
        onAuthenticated.accept(ctx);
        ctx.pipeline().remove(this);
    }
}
