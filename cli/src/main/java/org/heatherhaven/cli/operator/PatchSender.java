package org.heatherhaven.cli.operator;

import java.util.List;
import java.util.UUID;
import java.util.function.LongFunction;

import com.fasterxml.jackson.databind.JsonNode;
import org.heatherhaven.cli.ExitCode;
import org.heatherhaven.core.model.KeyGrant;
import org.heatherhaven.core.model.PolicyPatch;

/** Sends patches and reads how they ended. */
final class PatchSender {

    private static final int MAX_ATTEMPTS = 10;

    private PatchSender() {}

    static ExitCode send(OperatorOptions options, PolicyPatch patch) {
        JsonNode answer = options.post("/policy/patches", patch);
        return reportResult(options, patch, answer);
    }

    private static ExitCode reportResult(OperatorOptions options, PolicyPatch patch, JsonNode answer) {
        if (options.json()) {
            options.printJson(answer);
        }
        long version = answer.path("version").asLong();
        return switch (answer.path("verdict").asText()) {
            case "accepted" -> printUnlessJson(options, ExitCode.OK, "accepted as version " + version);
            case "rejected" ->
                printUnlessJson(
                        options,
                        ExitCode.REFUSED,
                        "rejected: " + answer.path("reason").asText());
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

    /** Sends a patch that fits any version, again if another patch came in between. */
    static ExitCode sendOnLatestVersion(OperatorOptions options, LongFunction<PolicyPatch> patchFor) {
        for (int i = 1; ; i++) {
            long base = options.get("/status").path("policy_version").asLong();
            PolicyPatch patch = patchFor.apply(base);
            JsonNode answer = options.post("/policy/patches", patch);
            boolean overtaken = answer.path("verdict").asText().equals("rejected")
                    && answer.path("version").asLong() != base;
            if (!overtaken || i == MAX_ATTEMPTS) {
                return reportResult(options, patch, answer);
            }
        }
    }

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
