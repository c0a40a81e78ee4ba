package org.heatherhaven.node.wire;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.List;

/** The fleet's secrets: the first signs, all are accepted, so that they can be rotated without a stop. */
public final class FleetSecrets {

    private static final String ALGORITHM = "HmacSHA256";

    private final List<String> secrets;

    /**
     * Creates a set of secrets.
     *
     * @param secrets at least one secret, the first of which signs
     */
    public FleetSecrets(List<String> secrets) {
        this.secrets = List.copyOf(secrets);
    }

    Proof createProof(String role, Hello mine, Hello theirs) {
        return new Proof(mac(secrets.get(0), role, mine, theirs));
    }

    /** Tells whether the other side knows one of the secrets; its view swaps whose hello is whose. */
    boolean verify(Proof proof, String role, Hello theirs, Hello mine) {
        return secrets.stream().anyMatch(secret -> MessageDigest.isEqual(mac(secret, role, theirs, mine), proof.mac()));
    }

    private static byte[] mac(String secret, String role, Hello signer, Hello challenger) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM));
            // Fields can't run into each other: each ends at a byte that no address or number contains.
            mac.update((role + "\n" + signer.node() + "\n" + signer.epoch() + "\n" + challenger.node() + "\n")
                    .getBytes(StandardCharsets.UTF_8));
            mac.update(challenger.nonce());
            mac.update(signer.nonce());
            return mac.doFinal();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("this Java lacks " + ALGORITHM, e);
        }
    }
}
