package org.heatherhaven.cli.operator;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import org.heatherhaven.cli.Command;
import org.heatherhaven.cli.ExitCode;

/** Prints the decisions that a node has recorded about a request or another subject. */
@Parameters(commandDescription = "Explain what a node decided about a request, or about 'node', 'policy' or a right")
public final class ExplainCommand implements Command {

    @Parameter(description = "REQUEST-ID", required = true)
    private String requestId;

    @ParametersDelegate
    private OperatorOptions options = new OperatorOptions();

    @Override
    public ExitCode run() {
        JsonNode decisions = options.get("/explain/" + requestId);
        if (decisions.isEmpty()) {
            throw new OperatorException(
                    ExitCode.REFUSED, "this node remembers no decision about " + requestId + "; ask its entry node");
        }
        if (options.json()) {
            options.printJson(decisions);
            return ExitCode.OK;
        }
        for (JsonNode decision : decisions) {
            System.out.printf(
                    "%s  policy version %d, rule '%s': %s -> %s%n",
                    decision.path("at").asText(),
                    decision.path("policyVersion").asLong(),
                    decision.path("rule").asText(),
                    decision.path("measure").asText(),
                    decision.path("result").asText());
        }
        return ExitCode.OK;
    }
}
