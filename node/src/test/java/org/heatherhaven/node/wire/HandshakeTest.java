package org.heatherhaven.node.wire;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.Example;

/**
 * Only peers that prove a fleet secret are authenticated. Each of several secrets is accepted, so that a secret can be
 * replaced without an interruption.
 */
class HandshakeTest {

    private static final int MAX_FRAME = 64 * 1024;

    /**
     * Runs a handshake until neither side sends more; returns the number of sides, 0 to 2, that authenticated the other.
     */
    private static int countAuthenticated(List<String> initiator, List<String> acceptor) {
        AtomicInteger authenticated = new AtomicInteger();
        EmbeddedChannel acceptorSide = side(false, "10.0.0.2:1", acceptor, authenticated);
        EmbeddedChannel initiatorSide = side(true, "10.0.0.1:1", initiator, authenticated);
        boolean more = true;
        while (more) {
            more = forward(initiatorSide, acceptorSide) | forward(acceptorSide, initiatorSide);
        }
        return authenticated.get();
    }

    private static EmbeddedChannel side(
            boolean initiator, String node, List<String> secrets, AtomicInteger authenticated) {
        byte[] nonce = new byte[16];
        nonce[0] = (byte) (initiator ? 1 : 2);
        return new EmbeddedChannel(
                new FrameCodec(MAX_FRAME),
                new Handshake(
                        initiator,
                        new Hello(node, 1, nonce),
                        new FleetSecrets(secrets),
                        ctx -> authenticated.incrementAndGet()));
    }

    /** Passes the next frame on; returns false if there is none or the receiver rejects it. */
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
            throw new AssertionError("expected " + expected + " sides to authenticate the other, got " + actual);
        }
    }

    @Example
    void twoNodesWithTheSameSecretAuthenticateEachOther() {
        expect(2, countAuthenticated(List.of("secret-of-the-fleet"), List.of("secret-of-the-fleet")));
    }

    @Example
    void nodesWithSecretsInDifferentOrderAuthenticateEachOther() {
        expect(2, countAuthenticated(List.of("old-secret", "new-secret"), List.of("new-secret", "old-secret")));
    }

    @Example
    void aPeerWithoutTheSecretIsNotAuthenticated() {
        expect(0, countAuthenticated(List.of("guessed-secret"), List.of("secret-of-the-fleet")));
    }

    @Example
    void aFrameBeforeTheProofIsRejected() {
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
        throw new AssertionError("a frame was accepted before the proof");
    }
}
