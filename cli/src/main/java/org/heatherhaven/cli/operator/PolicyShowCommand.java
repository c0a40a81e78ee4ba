package org.heatherhaven.cli.operator;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.JsonNode;
import org.heatherhaven.cli.Command;
import org.heatherhaven.cli.ExitCode;

/** Prints the policy in force at a node. */
@Parameters(commandDescription = "Show the policy in force at a node")
public final class PolicyShowCommand implements Command {

    @ParametersDelegate
    private OperatorOptions options = new OperatorOptions();

    @Override
    public ExitCode run() {
        JsonNode policy = options.get("/policy");
        if (options.json()) {
            options.printJson(policy);
            return ExitCode.OK;
        }
        System.out.println("version " + policy.path("version").asLong());
        System.out.printf("%-24s %12s %12s %7s%n", "TEAM", "RATE/S", "BURST", "SHARES");
        for (JsonNode team : policy.path("teams")) {
            System.out.printf(
                    "%-24s %12.1f %12.1f %7d%n",
                    team.path("name").asText(),
                    team.path("rate").asDouble(),
                    team.path("burst").asDouble(),
                    team.path("shares").asInt());
        }
        System.out.printf(
                "%-24s %-24s %-12s %-10s %-12s %s%n", "ROUTE", "PATH", "SERVICE", "IMPORTANCE", "UNREPEATABLE", "OPEN");
        for (JsonNode route : policy.path("routes")) {
            System.out.printf(
                    "%-24s %-24s %-12s %-10s %-12s %s%n",
                    route.path("name").asText(),
                    route.path("path").asText(),
                    route.path("service").asText(),
                    route.path("importance").asText(),
                    route.path("unrepeatable").asBoolean(),
                    route.path("open").asBoolean());
        }
        System.out.println(policy.path("keys").size() + " keys in force");
        return ExitCode.OK;
    }
}
