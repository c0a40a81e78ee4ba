package org.heatherhaven.node.wire;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.List;

/**
 * Shared secrets by which the nodes of a fleet authenticate each other.
 *
 * <p>Proofs are signed with the first secret and verified against all of them, so that a secret can be replaced node by
 * node without an interruption.
 */
public final class FleetSecrets {

    private static final String ALGORITHM = "HmacSHA256";

    private final List<String> secrets;

    /**
     * Creates a set of secrets.
     *
     * @param secrets at least one secret; the first one signs
     */
    public FleetSecrets(List<String> secrets) {
        this.secrets = List.copyOf(secrets);
    }

    /**
     * Signs a handshake with the first secret.
     *
     * @param role role of this node in the handshake; keeps a proof from being sent back as the other side's proof
     * @param local hello sent by this node
     * @param remote hello received from the peer
     * @return the proof to send
     */
    Proof createProof(String role, Hello local, Hello remote) {
        return new Proof(mac(secrets.get(0), role, local, remote));
    }

    /**
     * Checks the proof of a peer against all secrets.
     *
     * @param proof proof received
     * @param role role of the peer in the handshake
     * @param remote hello received from the peer, which it signed as its own
     * @param local hello sent by this node
     * @return true if the proof was made with one of the secrets
     */
    boolean verify(Proof proof, String role, Hello remote, Hello local) {
        return secrets.stream()
                .anyMatch(secret -> MessageDigest.isEqual(mac(secret, role, remote, local), proof.mac()));
    }

    private static byte[] mac(String secret, String role, Hello signer, Hello challenger) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM));
            // Each text field ends with a line feed, which occurs in no address and no number, so that the input is
            // unambiguous.
            mac.update((role + "\n" + signer.node() + "\n" + signer.epoch() + "\n" + challenger.node() + "\n")
                    .getBytes(StandardCharsets.UTF_8));
            mac.update(challenger.nonce());
            mac.update(signer.nonce());
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this Java runtime does not support " + ALGORITHM, e);
        }
    }
}
