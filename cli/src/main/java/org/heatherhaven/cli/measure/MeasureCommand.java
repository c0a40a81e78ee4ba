package org.heatherhaven.cli.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.PathConverter;
import org.heatherhaven.cli.Command;
import org.heatherhaven.cli.ExitCode;
import org.heatherhaven.standin.fleet.Deployment;
import org.heatherhaven.standin.measure.ControlCost;
import org.heatherhaven.standin.measure.Experiment;
import org.heatherhaven.standin.measure.Overhead;
import org.heatherhaven.standin.measure.Report;
import org.heatherhaven.standin.measure.RunResult;
import org.heatherhaven.standin.measure.Scenario;
import org.heatherhaven.standin.measure.Strategy;

/** Measures strategies side by side in a scenario, the cost of control by fleet size, or the latency of the nodes. */
@Parameters(commandDescription = "Measure a scenario on real nodes and stand-ins on loopback; last line is JSON")
public final class MeasureCommand implements Command {

    private static final String SLOPES = "slopes";
    private static final String OVERHEAD = "overhead";

    @Parameter(
            description = "SCENARIO, 'slopes' (cost of control at growing fleets) or 'overhead' (time added to a call)",
            required = true)
    private String scenario;

    @Parameter(names = "--deployment", description = "qaleen or tibas")
    private String deployment = "qaleen";

    @Parameter(names = "--seconds", description = "Length of the load of each run")
    private int seconds = 20;

    @Parameter(names = "--seed", description = "Start of all random choices; each round adds one")
    private long seed = 1;

    @Parameter(names = "--rounds", description = "Runs of each way of deciding, interleaved")
    private int rounds = 1;

    @Parameter(names = "--warm-up", description = "Seconds of load before the first run, not counted; 0 for none")
    private int warmUpSeconds = 10;

    @Parameter(names = "--strategies", description = "Ways of deciding, separated by commas")
    private List<String> strategies = List.of("heatherhaven", "pass-through");

    @Parameter(names = "--calls", description = "Calls a second for 'overhead', half of them direct")
    private int overheadCalls = 1_000;

    @Parameter(names = "--json", converter = PathConverter.class, description = "File for the figures")
    private Path json;

    @Parameter(names = "--plot", converter = PathConverter.class, description = "File for a plot, SVG")
    private Path plot;

    @Override
    public ExitCode run() {
        if (scenario.equals(SLOPES)) {
            new ControlCost(System.out::println).run();
            return ExitCode.OK;
        }
        if (scenario.equals(OVERHEAD)) {
            new Overhead(overheadCalls, seconds, System.out::println).run();
            return ExitCode.OK;
        }
        Scenario selectedScenario = parseConstant(Scenario.class, scenario);
        Deployment selectedDeployment = parseConstant(Deployment.class, deployment);
        List<RunResult> results = new ArrayList<>();
        if (warmUpSeconds > 0) {
            // The first fleet runs before the JIT compiler has compiled the code; its figures are discarded.
            new Experiment(
                            selectedScenario,
                            selectedDeployment,
                            warmUpSeconds,
                            seed,
                            line -> System.err.println("  warm-up, " + line))
                    .run(Strategy.HEATHERHAVEN);
        }
        for (int round = 0; round < rounds; round++) {
            for (String strategy : strategies) {
                Experiment experiment = new Experiment(
                        selectedScenario,
                        selectedDeployment,
                        seconds,
                        seed + round,
                        line -> System.err.println("  " + line));
                results.add(experiment.run(parseConstant(Strategy.class, strategy)));
            }
        }
        Report report = new Report(selectedScenario, selectedDeployment, results);
        report.table().forEach(System.out::println);
        if (plot != null) {
            report.plot(plot, seconds);
        }
        writeJson(report.json());
        System.out.println(report.json());
        return ExitCode.OK;
    }

    private void writeJson(String text) {
        if (json == null) {
            return;
        }
        try {
            Files.writeString(json, text + "\n");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static <E extends Enum<E>> E parseConstant(Class<E> type, String name) {
        try {
            return Enum.valueOf(type, name.toUpperCase(Locale.ROOT).replace('-', '_'));
        } catch (IllegalArgumentException e) {
            String allowedNames = Arrays.stream(type.getEnumConstants())
                    .map(constant -> constant.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                    .collect(Collectors.joining(", "));
            throw new ParameterException("'" + name + "' is not one of " + allowedNames);
        }
    }
}
