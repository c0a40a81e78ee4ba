package org.heatherhaven.node.wire;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.Example;
import org.heatherhaven.node.recorded.Recorded;

/**
 * Handshakes and their proofs keep their recorded bytes. Otherwise nodes of two versions could not authenticate each
 * other while a fleet is updated.
 */
class RecordedHandshakeTest {

    private static final int MAX_FRAME = 64 * 1024;
    private static final Hello LEFT = new Hello("10.1.0.1:7001", 1_700_000_000_123L, nonce(17));
    private static final Hello RIGHT = new Hello("10.2.0.2:7002", 1_700_000_456_789L, nonce(59));
    private static final List<String> SECRETS = List.of("secret-of-the-fleet-ü", "secret-before-it");

    private static byte[] nonce(int first) {
        byte[] nonce = new byte[16];
        for (int i = 0; i < nonce.length; i++) {
            nonce[i] = (byte) (first + 3 * i);
        }
        return nonce;
    }

    private static EmbeddedChannel side(boolean initiator, Hello localHello, List<String> log) {
        return new EmbeddedChannel(
                new FrameCodec(MAX_FRAME),
                new Handshake(
                        initiator,
                        localHello,
                        new FleetSecrets(SECRETS),
                        ctx -> log.add("proven to " + localHello.node())));
    }

    /** Passes the next frame on and adds its sender and bytes to the list; returns false if there is none. */
    private static boolean forward(String name, EmbeddedChannel from, EmbeddedChannel to, List<String> sent) {
        ByteBuf bytes = from.readOutbound();
        if (bytes == null) {
            return false;
        }
        sent.add(name + " " + ByteBufUtil.hexDump(bytes));
        to.writeInbound(bytes);
        return true;
    }

    @Example
    void bothSidesSendTheRecordedFrames() {
        List<String> sent = new ArrayList<>();
        EmbeddedChannel acceptor = side(false, RIGHT, sent);
        EmbeddedChannel initiator = side(true, LEFT, sent);
        boolean more = true;
        while (more) {
            more = forward("initiator", initiator, acceptor, sent) | forward("acceptor", acceptor, initiator, sent);
        }
        Recorded.requireSame("handshake.txt", sent);
    }

    @Example
    void proofsEqualTheRecordedOnes() {
        List<String> proofs = new ArrayList<>();
        for (String role : List.of("initiator", "acceptor")) {
            for (String secret : SECRETS) {
                FleetSecrets secrets = new FleetSecrets(List.of(secret));
                proofs.add(role + " " + secret + " "
                        + ByteBufUtil.hexDump(
                                secrets.createProof(role, LEFT, RIGHT).mac()));
            }
        }
        Recorded.requireSame("proofs.txt", proofs);
    }

    @Example
    void recordedProofsAreAccepted() {
        List<String> lines = Recorded.lines("proofs.txt");
        if (lines.size() != 2 * SECRETS.size()) {
            throw new AssertionError(lines.size() + " proofs are recorded");
        }
        for (String line : lines) {
            String[] parts = line.split(" ");
            Proof proof = new Proof(ByteBufUtil.decodeHexDump(parts[2]));
            if (!new FleetSecrets(SECRETS).verify(proof, parts[0], LEFT, RIGHT)) {
                throw new AssertionError("not accepted: " + Arrays.toString(parts));
            }
        }
    }
}
