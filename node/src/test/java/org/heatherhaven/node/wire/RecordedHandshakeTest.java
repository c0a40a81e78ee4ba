package org.heatherhaven.node.wire;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.Example;
import org.heatherhaven.node.recorded.Recorded;

/** The proof of a handshake is computed as other versions compute it, or a fleet splits while it is updated. */
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

    private static EmbeddedChannel side(boolean initiator, Hello mine, List<String> proven) {
        return new EmbeddedChannel(
                new FrameCodec(MAX_FRAME),
                new Handshake(
                        initiator, mine, new FleetSecrets(SECRETS), ctx -> proven.add("proven to " + mine.node())));
    }

    /** Carries what one side said to the other, and notes it. */
    private static boolean forward(String name, EmbeddedChannel from, EmbeddedChannel to, List<String> said) {
        ByteBuf bytes = from.readOutbound();
        if (bytes == null) {
            return false;
        }
        said.add(name + " " + ByteBufUtil.hexDump(bytes));
        to.writeInbound(bytes);
        return true;
    }

    @Example
    void twoSidesSayWhatIsRecorded() {
        List<String> said = new ArrayList<>();
        EmbeddedChannel acceptor = side(false, RIGHT, said);
        EmbeddedChannel initiator = side(true, LEFT, said);
        boolean more = true;
        while (more) {
            more = forward("initiator", initiator, acceptor, said) | forward("acceptor", acceptor, initiator, said);
        }
        Recorded.requireSame("handshake.txt", said);
    }

    @Example
    void proofsAreThoseRecorded() {
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
