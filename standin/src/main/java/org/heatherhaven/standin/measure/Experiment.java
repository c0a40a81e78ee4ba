package org.heatherhaven.standin.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

import org.heatherhaven.core.logic.admission.FairShare;
import org.heatherhaven.standin.fleet.Deployment;
import org.heatherhaven.standin.fleet.EmbeddedFleet;
import org.heatherhaven.standin.fleet.FleetPolicy;
import org.heatherhaven.standin.fleet.Flow;
import org.heatherhaven.standin.load.CallerBehavior;
import org.heatherhaven.standin.load.LoadGenerator;
import org.heatherhaven.standin.load.RequestStatistics;

/** Runs a fleet under load with a disturbance and computes the figures of the run. */
public final class Experiment {

    /** A fleet has recovered when this fraction of the requests in a window succeeds. */
    private static final double RECOVERY_THRESHOLD = 0.95;

    private static final long RECOVERY_WINDOW_MILLIS = 500;
    private static final Duration LAST_RESPONSES_WAIT = Duration.ofMillis(1_700);
    private static final int LARGEST_TEAM = 0;

    private final Scenario scenario;
    private final Deployment deployment;
    private final int seconds;
    private final long seed;
    private final Consumer<String> progress;

    /**
     * Creates an experiment.
     *
     * @param scenario load and disturbance
     * @param deployment deployment that the fleet and the load generator simulate
     * @param seconds length of the load, all phases together
     * @param seed seed of all random choices
     * @param progress receives a line of text at the start of each phase
     */
    public Experiment(Scenario scenario, Deployment deployment, int seconds, long seed, Consumer<String> progress) {
        this.scenario = scenario;
        this.deployment = deployment;
        this.seconds = seconds;
        this.seed = seed;
        this.progress = progress;
    }

    /**
     * Starts a fleet, runs the experiment once and stops the fleet.
     *
     * @param strategy strategy of all nodes
     * @return figures of the run
     */
    public RunResult run(Strategy strategy) {
        RequestStatistics statistics = new RequestStatistics(seconds);
        try (EmbeddedFleet fleet = new EmbeddedFleet(deployment, strategy.rules(seed), seed);
                LoadGenerator load = new LoadGenerator(
                        deployment,
                        CallerBehavior.withEagerRetries(deployment.callerDelay()),
                        statistics,
                        team -> entryUrl(fleet, team),
                        seed)) {
            fleet.applyPatch(FleetPolicy.initialPatch(deployment, scenario.rateFactor()));
            PhaseTimes times = runPhases(fleet, load, strategy);
            return computeResult(strategy, fleet, statistics, times);
        } catch (TimeoutException e) {
            throw new IllegalStateException("the initial policy was not applied in time", e);
        }
    }

    private String entryUrl(EmbeddedFleet fleet, int team) {
        boolean singleEntry = scenario == Scenario.STEADY && team == LARGEST_TEAM;
        return fleet.callerUrl(singleEntry ? 0 : ThreadLocalRandom.current().nextInt(fleet.size()));
    }

    /** Start times of the phases, and the end of the last one, in milliseconds since the load generator was created. */
    private record PhaseTimes(long ordinary, long disturbed, long after, long end) {}

    private PhaseTimes runPhases(EmbeddedFleet fleet, LoadGenerator load, Strategy strategy) {
        progress.accept(strategy.label() + ": ordinary load");
        load.run(phaseDuration(Phase.WARM_UP), team -> scenario.ordinaryRate(deployment, team));
        final long ordinary = load.elapsedMillis();
        load.run(phaseDuration(Phase.ORDINARY), team -> scenario.ordinaryRate(deployment, team));
        progress.accept(strategy.label() + ": " + scenario.label());
        scenario.startDisturbance(fleet, deployment);
        final long disturbed = load.elapsedMillis();
        load.run(phaseDuration(Phase.DISTURBED), team -> scenario.disturbedRate(deployment, team));
        scenario.endDisturbance(fleet, deployment);
        progress.accept(strategy.label() + ": after it");
        final long after = load.elapsedMillis();
        load.run(phaseDuration(Phase.AFTER), team -> scenario.ordinaryRate(deployment, team));
        final long end = load.elapsedMillis();
        pause(LAST_RESPONSES_WAIT);
        return new PhaseTimes(ordinary, disturbed, after, end);
    }

    private Duration phaseDuration(Phase phase) {
        return Duration.ofMillis(phase.millis(seconds));
    }

    private static void pause(Duration time) {
        try {
            Thread.sleep(time.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private RunResult computeResult(
            Strategy strategy, EmbeddedFleet fleet, RequestStatistics statistics, PhaseTimes times) {
        Map<String, Double> flows = new LinkedHashMap<>();
        for (Flow flow : deployment.flows()) {
            flows.put(flow.name(), successFraction(statistics, "", flow.name(), times.disturbed(), times.after()));
        }
        Map<String, Long> refusals = statistics.refusals();
        long tokenRefusals = refusals.entrySet().stream()
                .filter(entry ->
                        entry.getKey().endsWith(" rate") || entry.getKey().endsWith(" quota-unavailable"))
                .mapToLong(Map.Entry::getValue)
                .sum();
        long totalRequests = statistics.count(true, "", "", 0, times.end());
        long recoveryStart = scenario.recoversWhileDisturbed() ? times.disturbed() : times.after();
        return new RunResult(
                strategy.label(),
                successFraction(statistics, "", "", times.ordinary(), times.disturbed()),
                successFraction(statistics, "", "", times.disturbed(), times.after()),
                bottleneckFraction(statistics, times),
                recoveryMillis(
                        statistics, recoveryStart, scenario.recoversWhileDisturbed() ? times.after() : times.end()),
                worstTeamFraction(statistics, times),
                (double) tokenRefusals / totalRequests,
                flows,
                fleet.keysRunTwice(),
                fleet.requestsWithCallerKey(),
                statistics.latencyMillis(50),
                statistics.latencyMillis(99),
                times.end(),
                refusals,
                statistics);
    }

    /** Returns the fraction of requests that succeeded, 1 if none were offered; an empty team or flow matches all. */
    private static double successFraction(RequestStatistics statistics, String team, String flow, long from, long to) {
        long offered = statistics.count(true, team, flow, from, to);
        return offered == 0 ? 1 : (double) statistics.count(false, team, flow, from, to) / offered;
    }

    /** Returns the bottleneck goodput as a fraction of its remaining capacity, or of the offered requests if fewer. */
    private double bottleneckFraction(RequestStatistics statistics, PhaseTimes times) {
        double succeeded = 0;
        double offered = 0;
        for (Flow flow : deployment.flows()) {
            if (flow.usesBottleneck()) {
                succeeded += statistics.count(false, "", flow.name(), times.disturbed(), times.after());
                offered += statistics.count(true, "", flow.name(), times.disturbed(), times.after());
            }
        }
        double seconds = (times.after() - times.disturbed()) / 1_000.0;
        double maxCompleted = deployment.bottleneck().capacity() * scenario.remainingCapacity() * seconds;
        return succeeded / Math.min(maxCompleted, offered);
    }

    /** Returns the time from the start until the first window with enough successes, or -1 if there is none. */
    private static long recoveryMillis(RequestStatistics statistics, long recoveryStart, long end) {
        for (long at = recoveryStart; at + RECOVERY_WINDOW_MILLIS <= end; at += RequestStatistics.BIN_MILLIS) {
            if (successFraction(statistics, "", "", at, at + RECOVERY_WINDOW_MILLIS) >= RECOVERY_THRESHOLD) {
                return at - recoveryStart;
            }
        }
        return -1;
    }

    /** Returns the lowest team goodput, as a fraction of the fair share or, if less, of the demand within the rate. */
    private double worstTeamFraction(RequestStatistics statistics, PhaseTimes times) {
        double seconds = (times.after() - times.disturbed()) / 1_000.0;
        List<Double> demands = new ArrayList<>();
        for (int team = 0; team < Deployment.TEAM_FRACTIONS.size(); team++) {
            double offered = statistics.count(true, FleetPolicy.teamName(team), "", times.disturbed(), times.after());
            demands.add(Math.min(offered, FleetPolicy.teamRate(deployment, team, scenario.rateFactor()) * seconds));
        }
        double fairShare = FairShare.of(demands, deployment.capacity() * scenario.remainingCapacity() * seconds);
        double worst = Double.POSITIVE_INFINITY;
        for (int team = 0; team < demands.size(); team++) {
            double succeeded =
                    statistics.count(false, FleetPolicy.teamName(team), "", times.disturbed(), times.after());
            worst = Math.min(worst, succeeded / Math.min(fairShare, demands.get(team)));
        }
        return worst;
    }
}
