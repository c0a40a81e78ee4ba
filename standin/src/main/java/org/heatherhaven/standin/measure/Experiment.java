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

/** One run: a fleet, its callers, a disturbance, and what came of it. */
public final class Experiment {

    /** A fleet has recovered when this part of its requests is answered again. */
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
     * @param scenario what is done to the fleet
     * @param deployment which fleet
     * @param seconds length of the load
     * @param seed start of all random choices
     * @param progress told in words what is going on
     */
    public Experiment(Scenario scenario, Deployment deployment, int seconds, long seed, Consumer<String> progress) {
        this.scenario = scenario;
        this.deployment = deployment;
        this.seconds = seconds;
        this.seed = seed;
        this.progress = progress;
    }

    /**
     * Runs the experiment once.
     *
     * @param strategy way of deciding
     * @return the figures
     */
    public RunResult run(Strategy strategy) {
        RequestStatistics log = new RequestStatistics(seconds);
        try (EmbeddedFleet fleet = new EmbeddedFleet(deployment, strategy.rules(seed), seed);
                LoadGenerator callers = new LoadGenerator(
                        deployment,
                        CallerBehavior.withEagerRetries(deployment.callerDelay()),
                        log,
                        team -> entryUrl(fleet, team),
                        seed)) {
            fleet.applyPatch(FleetPolicy.initialPatch(deployment, scenario.rateFactor()));
            PhaseTimes marks = runPhases(fleet, callers, strategy);
            return computeResult(strategy, fleet, log, marks);
        } catch (TimeoutException e) {
            throw new IllegalStateException("the policy could not be put in force", e);
        }
    }

    private String entryUrl(EmbeddedFleet fleet, int team) {
        boolean uneven = scenario == Scenario.STEADY && team == LARGEST_TEAM;
        return fleet.callerUrl(uneven ? 0 : ThreadLocalRandom.current().nextInt(fleet.size()));
    }

    /** Milliseconds at which the phases began. */
    private record PhaseTimes(long ordinary, long disturbed, long after, long end) {}

    private PhaseTimes runPhases(EmbeddedFleet fleet, LoadGenerator callers, Strategy strategy) {
        progress.accept(strategy.label() + ": ordinary load");
        callers.run(phaseDuration(Phase.WARM_UP), team -> scenario.ordinaryRate(deployment, team));
        final long ordinary = callers.elapsedMillis();
        callers.run(phaseDuration(Phase.ORDINARY), team -> scenario.ordinaryRate(deployment, team));
        progress.accept(strategy.label() + ": " + scenario.label());
        scenario.startDisturbance(fleet, deployment);
        final long disturbed = callers.elapsedMillis();
        callers.run(phaseDuration(Phase.DISTURBED), team -> scenario.disturbedRate(deployment, team));
        scenario.endDisturbance(fleet, deployment);
        progress.accept(strategy.label() + ": after it");
        final long after = callers.elapsedMillis();
        callers.run(phaseDuration(Phase.AFTER), team -> scenario.ordinaryRate(deployment, team));
        final long end = callers.elapsedMillis();
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

    private RunResult computeResult(Strategy strategy, EmbeddedFleet fleet, RequestStatistics log, PhaseTimes marks) {
        Map<String, Double> flows = new LinkedHashMap<>();
        for (Flow flow : deployment.flows()) {
            flows.put(flow.name(), successFraction(log, "", flow.name(), marks.disturbed(), marks.after()));
        }
        Map<String, Long> refusals = log.refusals();
        long lackOfTokens = refusals.entrySet().stream()
                .filter(entry ->
                        entry.getKey().endsWith(" rate") || entry.getKey().endsWith(" quota-unavailable"))
                .mapToLong(Map.Entry::getValue)
                .sum();
        long all = log.count(true, "", "", 0, marks.end());
        long cause = scenario.recoversWhileDisturbed() ? marks.disturbed() : marks.after();
        return new RunResult(
                strategy.label(),
                successFraction(log, "", "", marks.ordinary(), marks.disturbed()),
                successFraction(log, "", "", marks.disturbed(), marks.after()),
                bottleneckFraction(log, marks),
                recoveryMillis(log, cause, scenario.recoversWhileDisturbed() ? marks.after() : marks.end()),
                worstTeamFraction(log, marks),
                (double) lackOfTokens / all,
                flows,
                fleet.keysRunTwice(),
                fleet.requestsWithCallerKey(),
                log.latencyMillis(50),
                log.latencyMillis(99),
                marks.end(),
                refusals,
                log);
    }

    private static double successFraction(RequestStatistics log, String team, String flow, long from, long to) {
        long offered = log.count(true, team, flow, from, to);
        return offered == 0 ? 1 : (double) log.count(false, team, flow, from, to) / offered;
    }

    private double bottleneckFraction(RequestStatistics log, PhaseTimes marks) {
        double good = 0;
        double offered = 0;
        for (Flow flow : deployment.flows()) {
            if (flow.usesBottleneck()) {
                good += log.count(false, "", flow.name(), marks.disturbed(), marks.after());
                offered += log.count(true, "", flow.name(), marks.disturbed(), marks.after());
            }
        }
        double seconds = (marks.after() - marks.disturbed()) / 1_000.0;
        double possible = deployment.bottleneck().capacity() * scenario.remainingCapacity() * seconds;
        return good / Math.min(possible, offered);
    }

    private static long recoveryMillis(RequestStatistics log, long cause, long end) {
        for (long at = cause; at + RECOVERY_WINDOW_MILLIS <= end; at += RequestStatistics.BIN_MILLIS) {
            if (successFraction(log, "", "", at, at + RECOVERY_WINDOW_MILLIS) >= RECOVERY_THRESHOLD) {
                return at - cause;
            }
        }
        return -1;
    }

    private double worstTeamFraction(RequestStatistics log, PhaseTimes marks) {
        double seconds = (marks.after() - marks.disturbed()) / 1_000.0;
        List<Double> demands = new ArrayList<>();
        for (int team = 0; team < Deployment.TEAM_FRACTIONS.size(); team++) {
            double offered = log.count(true, FleetPolicy.teamName(team), "", marks.disturbed(), marks.after());
            demands.add(Math.min(offered, FleetPolicy.teamRate(deployment, team, scenario.rateFactor()) * seconds));
        }
        double fair = FairShare.of(demands, deployment.capacity() * scenario.remainingCapacity() * seconds);
        double worst = Double.POSITIVE_INFINITY;
        for (int team = 0; team < demands.size(); team++) {
            double good = log.count(false, FleetPolicy.teamName(team), "", marks.disturbed(), marks.after());
            worst = Math.min(worst, good / Math.min(fair, demands.get(team)));
        }
        return worst;
    }
}
