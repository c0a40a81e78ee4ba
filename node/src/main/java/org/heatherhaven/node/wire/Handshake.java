package org.heatherhaven.node.wire;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Lets a connection through once the other side has proved the fleet secret; then removes itself.
 *
 * <p>The initiator says hello, the acceptor answers with hello and proof, the initiator with its proof.
 */
public final class Handshake extends ChannelInboundHandlerAdapter {

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
     * @param initiator true on the side that connected
     * @param mine this side's hello
     * @param secrets the fleet's secrets
     * @param proven called once the other side has proved the secret
     */
    public Handshake(boolean initiator, Hello mine, FleetSecrets secrets, Consumer<ChannelHandlerContext> proven) {
        this.initiator = initiator;
        this.localHello = mine;
        this.secrets = secrets;
        this.onAuthenticated = proven;
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
                throw new WireException(WireException.Code.NOT_AUTHENTICATED, "a nonce of the wrong length");
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
                    WireException.Code.NOT_AUTHENTICATED, "the peer sent " + frame.type() + " before its proof");
        }
    }

    private void finish(ChannelHandlerContext ctx, Proof proof) {
        if (!secrets.verify(proof, initiator ? ACCEPTOR : INITIATOR, remoteHello, localHello)) {
            throw new WireException(WireException.Code.NOT_AUTHENTICATED, "the peer does not know the fleet secret");
        }
        if (initiator) {
            ctx.writeAndFlush(Frame.of(FrameType.PROOF, 0, secrets.createProof(INITIATOR, localHello, remoteHello)));
        }
        onAuthenticated.accept(ctx);
        ctx.pipeline().remove(this);
    }
}
