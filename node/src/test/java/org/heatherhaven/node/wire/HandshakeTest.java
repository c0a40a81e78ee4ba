package org.heatherhaven.node.wire;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.Example;

/** Only peers that prove a fleet secret get in; several are accepted, so that it can be rotated without a stop. */
class HandshakeTest {

    private static final int MAX_FRAME = 64 * 1024;

    /** Lets two sides shake hands; counts the sides that let the other in, and ends when nobody has more to say. */
    private static int countAuthenticated(List<String> initiator, List<String> acceptor) {
        AtomicInteger proven = new AtomicInteger();
        EmbeddedChannel right = side(false, "10.0.0.2:1", acceptor, proven);
        EmbeddedChannel left = side(true, "10.0.0.1:1", initiator, proven);
        boolean more = true;
        while (more) {
            more = forward(left, right) | forward(right, left);
        }
        return proven.get();
    }

    private static EmbeddedChannel side(boolean initiator, String node, List<String> secrets, AtomicInteger proven) {
        byte[] nonce = new byte[16];
        nonce[0] = (byte) (initiator ? 1 : 2);
        return new EmbeddedChannel(
                new FrameCodec(MAX_FRAME),
                new Handshake(
                        initiator,
                        new Hello(node, 1, nonce),
                        new FleetSecrets(secrets),
                        ctx -> proven.incrementAndGet()));
    }

    private static boolean forward(EmbeddedChannel from, EmbeddedChannel to) {
        ByteBuf bytes = from.readOutbound();
        if (bytes == null) {
            return false;
        }
        try {
            to.writeInbound(bytes);
        } catch (WireException e) {
            return false;
        }
        return true;
    }

    private static void expect(int expected, int actual) {
        if (expected != actual) {
            throw new AssertionError("expected " + expected + " sides to let the other in, got " + actual);
        }
    }

    @Example
    void twoNodesOfAFleetLetEachOtherIn() {
        expect(2, countAuthenticated(List.of("secret-of-the-fleet"), List.of("secret-of-the-fleet")));
    }

    @Example
    void nodesInTheMidstOfARotationLetEachOtherIn() {
        expect(2, countAuthenticated(List.of("old-secret", "new-secret"), List.of("new-secret", "old-secret")));
    }

    @Example
    void aPeerWithoutTheSecretIsNotLetIn() {
        expect(0, countAuthenticated(List.of("guessed-secret"), List.of("secret-of-the-fleet")));
    }

    @Example
    void aFrameBeforeTheProofIsAnError() {
        EmbeddedChannel acceptor = side(false, "10.0.0.2:1", List.of("secret-of-the-fleet"), new AtomicInteger());
        EmbeddedChannel encoder = new EmbeddedChannel(new FrameCodec(MAX_FRAME));
        encoder.writeOutbound(Frame.withoutPayload(FrameType.CANCEL, 1));
        try {
            acceptor.writeInbound((ByteBuf) encoder.readOutbound());
        } catch (WireException e) {
            if (e.code() == WireException.Code.NOT_AUTHENTICATED) {
                return;
            }
        }
        throw new AssertionError("a frame was taken before the proof");
    }
}
