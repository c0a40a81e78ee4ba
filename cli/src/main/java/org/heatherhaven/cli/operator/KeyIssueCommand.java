package org.heatherhaven.cli.operator;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.apache.commons.codec.digest.DigestUtils;
import org.heatherhaven.cli.Command;
import org.heatherhaven.cli.ExitCode;
import org.heatherhaven.core.model.KeyGrant;

/** Issues an API key to a team; the key is printed once, and the policy stores only its SHA-256 hash. */
@Parameters(commandDescription = "Issue a key to a team; it is printed once, and only its hash is kept")
public final class KeyIssueCommand implements Command {

    private static final int KEY_BYTES = 32;

    @Parameter(names = "--team", required = true, description = "Team that the key speaks for")
    private String team;

    @ParametersDelegate
    private OperatorOptions options = new OperatorOptions();

    @Override
    public ExitCode run() {
        byte[] bytes = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(bytes);
        String key = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
        KeyGrant grant = new KeyGrant(DigestUtils.sha256Hex(key), team);
        ExitCode code = PatchSender.sendOnLatestVersion(
                options, base -> PatchSender.keyPatch(base, "issue a key to " + team, List.of(grant), List.of()));
        if (code == ExitCode.OK) {
            System.out.println("key  " + key);
            System.out.println("hash " + grant.hash());
        }
        return code;
    }
}
