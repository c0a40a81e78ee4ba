package org.heatherhaven.cli.operator;

import java.util.List;
import java.util.UUID;
import java.util.function.LongFunction;

import com.fasterxml.jackson.databind.JsonNode;
import org.heatherhaven.cli.ExitCode;
import org.heatherhaven.core.model.KeyGrant;
import org.heatherhaven.core.model.PolicyPatch;

/** Sends policy patches to a node and prints their results. */
final class PatchSender {

    private static final int MAX_ATTEMPTS = 10;

    private PatchSender() {}

    /** Sends a patch once and prints its result. */
    static ExitCode send(OperatorOptions options, PolicyPatch patch) {
        JsonNode response = options.post("/policy/patches", patch);
        return reportResult(options, patch, response);
    }

    private static ExitCode reportResult(OperatorOptions options, PolicyPatch patch, JsonNode response) {
        if (options.json()) {
            options.printJson(response);
        }
        long version = response.path("version").asLong();
        return switch (response.path("verdict").asText()) {
            case "accepted" -> printUnlessJson(options, ExitCode.OK, "accepted as version " + version);
            case "rejected" ->
                printUnlessJson(
                        options,
                        ExitCode.REFUSED,
                        "rejected: " + response.path("reason").asText());
            default ->
                printUnlessJson(
                        options,
                        ExitCode.UNKNOWN,
                        "unknown, send the same patch again with id = \"" + patch.id() + "\"");
        };
    }

    private static ExitCode printUnlessJson(OperatorOptions options, ExitCode code, String text) {
        if (!options.json()) {
            System.out.println(text);
        }
        return code;
    }

    /**
     * Sends a patch that can be based on any version.
     *
     * <p>If another patch has created a version in the meantime, builds the patch again on the latest version, up to
     * {@link #MAX_ATTEMPTS} attempts in total.
     *
     * @param patchFor builds the patch for a base version
     * @return exit code of the command
     */
    static ExitCode sendOnLatestVersion(OperatorOptions options, LongFunction<PolicyPatch> patchFor) {
        for (int attempt = 1; ; attempt++) {
            long base = options.get("/status").path("policy_version").asLong();
            PolicyPatch patch = patchFor.apply(base);
            JsonNode response = options.post("/policy/patches", patch);
            boolean baseOutdated = response.path("verdict").asText().equals("rejected")
                    && response.path("version").asLong() != base;
            if (!baseOutdated || attempt == MAX_ATTEMPTS) {
                return reportResult(options, patch, response);
            }
        }
    }

    /** Builds a patch that only issues and withdraws API keys. */
    static PolicyPatch keyPatch(long base, String note, List<KeyGrant> issued, List<String> withdrawn) {
        return new PolicyPatch(
                UUID.randomUUID().toString(),
                base,
                currentUser(),
                note,
                List.of(),
                List.of(),
                issued,
                List.of(),
                List.of(),
                withdrawn);
    }

    static String currentUser() {
        return System.getProperty("user.name", "operator");
    }
}
