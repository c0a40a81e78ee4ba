package org.heatherhaven.cli.operator;

import java.util.Iterator;
import java.util.Map;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import org.heatherhaven.cli.Command;
import org.heatherhaven.cli.ExitCode;

/** Prints the status of a node, its leases and, on request, its metrics that are not zero. */
@Parameters(commandDescription = "Show what a node is doing")
public final class StatusCommand implements Command {

    @Parameter(names = "--metrics", description = "Show counters that are not zero too")
    private boolean metrics;

    @ParametersDelegate
    private OperatorOptions options = new OperatorOptions();

    @Override
    public ExitCode run() {
        JsonNode status = options.get("/status");
        if (options.json()) {
            options.printJson(status);
            return ExitCode.OK;
        }
        Iterator<Map.Entry<String, JsonNode>> fields = status.fields();
        while (fields.hasNext()) {
            Map.Entry<String, JsonNode> field = fields.next();
            if (field.getValue().isValueNode()) {
                System.out.printf("%-26s %s%n", field.getKey(), field.getValue().asText());
            }
        }
        System.out.printf("%-32s %-22s %-22s %10s %s%n", "RIGHT", "HOLDER", "STANDBY", "GENERATION", "USABLE HERE");
        for (JsonNode lease : status.path("rights")) {
            System.out.printf(
                    "%-32s %-22s %-22s %10d %s%n",
                    lease.path("right").asText(),
                    lease.path("holder").asText(),
                    lease.path("standby").asText(),
                    lease.path("generation").asLong(),
                    lease.path("usable_here").asBoolean());
        }
        if (metrics) {
            printMetrics(options.get("/metrics"));
        }
        return ExitCode.OK;
    }

    private static void printMetrics(JsonNode values) {
        Iterator<Map.Entry<String, JsonNode>> fields = values.fields();
        while (fields.hasNext()) {
            Map.Entry<String, JsonNode> field = fields.next();
            if (field.getValue().asDouble() != 0) {
                System.out.printf("%-40s %s%n", field.getKey(), field.getValue().asText());
            }
        }
    }
}
