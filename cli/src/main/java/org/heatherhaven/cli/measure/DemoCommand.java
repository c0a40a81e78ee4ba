package org.heatherhaven.cli.measure;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.heatherhaven.cli.Command;
import org.heatherhaven.cli.ExitCode;
import org.heatherhaven.standin.fleet.Deployment;
import org.heatherhaven.standin.measure.Experiment;
import org.heatherhaven.standin.measure.Report;
import org.heatherhaven.standin.measure.RunResult;
import org.heatherhaven.standin.measure.Scenario;
import org.heatherhaven.standin.measure.Strategy;

/** Compares this system with a pass-through baseline under overload, in less than a minute. */
@Parameters(commandDescription = "Show ordinary load, a surge, a slow service and a noisy team, against a baseline")
public final class DemoCommand implements Command {

    private static final int WARM_UP_SECONDS = 6;

    @Parameter(names = "--seconds", description = "Length of the load of each run")
    private int seconds = 16;

    @Override
    public ExitCode run() {
        new Experiment(Scenario.DEMO, Deployment.QALEEN, WARM_UP_SECONDS, 1, line -> {}).run(Strategy.HEATHERHAVEN);
        List<RunResult> results = new ArrayList<>();
        for (Strategy strategy : List.of(Strategy.HEATHERHAVEN, Strategy.PASS_THROUGH)) {
            Experiment experiment = new Experiment(
                    Scenario.DEMO, Deployment.QALEEN, seconds, 1, line -> System.out.println("  " + line));
            results.add(experiment.run(strategy));
        }
        new Report(Scenario.DEMO, Deployment.QALEEN, results).table().forEach(System.out::println);
        return ExitCode.OK;
    }
}
