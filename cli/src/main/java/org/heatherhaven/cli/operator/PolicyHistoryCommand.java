package org.heatherhaven.cli.operator;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import org.heatherhaven.cli.Command;
import org.heatherhaven.cli.ExitCode;

/** Prints the patches that created the latest policy versions. */
@Parameters(commandDescription = "Show which patches made the latest versions")
public final class PolicyHistoryCommand implements Command {

    @ParametersDelegate
    private OperatorOptions options = new OperatorOptions();

    @Override
    public ExitCode run() {
        JsonNode history = options.get("/policy/history");
        if (options.json()) {
            options.printJson(history);
            return ExitCode.OK;
        }
        System.out.printf("%8s %-12s %-38s %s%n", "VERSION", "AUTHOR", "PATCH", "NOTE");
        for (JsonNode version : history) {
            JsonNode patch = version.path("patch");
            System.out.printf(
                    "%8d %-12s %-38s %s%n",
                    version.path("version").asLong(),
                    patch.path("author").asText(),
                    patch.path("id").asText(),
                    patch.path("note").asText());
        }
        return ExitCode.OK;
    }
}
