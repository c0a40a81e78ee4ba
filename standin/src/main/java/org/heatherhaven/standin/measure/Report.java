package org.heatherhaven.standin.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import java.util.stream.DoubleStream;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.heatherhaven.standin.fleet.Deployment;
import org.heatherhaven.standin.load.RequestStatistics;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Formats the figures of several runs as a table, as JSON and as a plot. */
public final class Report {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double PERCENT = 100;
    private static final long SERIES_STEP_MILLIS = 500;
    private static final int WIDTH = 1_000;
    private static final int HEIGHT = 500;

    private final Scenario scenario;
    private final Deployment deployment;
    private final List<RunResult> results;

    /**
     * Creates a report.
     *
     * @param scenario scenario of the runs
     * @param deployment deployment of the runs
     * @param results figures of all runs of all strategies
     */
    public Report(Scenario scenario, Deployment deployment, List<RunResult> results) {
        this.scenario = scenario;
        this.deployment = deployment;
        this.results = results;
    }

    private List<String> strategies() {
        return results.stream().map(RunResult::strategy).distinct().toList();
    }

    private double[] sortedValues(String strategy, ToDoubleFunction<RunResult> figure) {
        return results.stream()
                .filter(result -> result.strategy().equals(strategy))
                .mapToDouble(figure)
                .sorted()
                .toArray();
    }

    private static double median(double[] sorted) {
        return sorted[sorted.length / 2];
    }

    /**
     * Returns a Markdown table with the median of each strategy's runs, and their range in parentheses.
     *
     * @return lines of the table, followed by one line of details for each strategy
     */
    public List<String> table() {
        List<String> lines = new ArrayList<>();
        lines.add("| " + scenario.label() + ", " + deployment.name().toLowerCase(Locale.ROOT)
                + " | ordinary | disturbed | of the bottleneck | recovery | worst team | in-rate refusals"
                + " | ran twice | p50 | p99 |");
        lines.add("|---|---|---|---|---|---|---|---|---|---|");
        for (String strategy : strategies()) {
            lines.add("| " + strategy
                    + " | " + formatPercent(sortedValues(strategy, RunResult::ordinaryFraction))
                    + " | " + formatPercent(sortedValues(strategy, RunResult::disturbedFraction))
                    + " | " + formatPercent(sortedValues(strategy, RunResult::bottleneckFraction))
                    + " | " + formatRecovery(sortedValues(strategy, RunResult::recoveryMillis))
                    + " | " + formatPercent(sortedValues(strategy, RunResult::worstTeamFraction))
                    + " | " + formatPercent(sortedValues(strategy, RunResult::inRateRefusalFraction))
                    + " | "
                    + (long) DoubleStream.of(sortedValues(strategy, RunResult::keysRunTwice))
                            .sum()
                    + " | " + formatMillis(sortedValues(strategy, RunResult::medianMillis))
                    + " | " + formatMillis(sortedValues(strategy, RunResult::p99Millis)) + " |");
        }
        for (String strategy : strategies()) {
            RunResult first = results.stream()
                    .filter(result -> result.strategy().equals(strategy))
                    .findFirst()
                    .orElseThrow();
            lines.add(
                    "  " + strategy + ", first run: flows " + first.flowFractions() + ", refusals " + first.refusals());
        }
        return lines;
    }

    private static String formatPercent(double[] sorted) {
        return String.format(
                Locale.ROOT,
                "%.2f%% (%.2f-%.2f)",
                PERCENT * median(sorted),
                PERCENT * sorted[0],
                PERCENT * sorted[sorted.length - 1]);
    }

    private static String formatRecovery(double[] sorted) {
        return sorted[0] < 0
                ? "not seen in every run"
                : String.format(
                        Locale.ROOT, "%.0f ms (%.0f-%.0f)", median(sorted), sorted[0], sorted[sorted.length - 1]);
    }

    private static String formatMillis(double[] sorted) {
        return String.format(Locale.ROOT, "%.1f ms", median(sorted));
    }

    /**
     * Returns the figures of all runs.
     *
     * @return JSON on one line
     */
    public String json() {
        ObjectNode root = JSON.createObjectNode();
        root.put("scenario", scenario.label());
        root.put("deployment", deployment.name().toLowerCase(Locale.ROOT));
        for (RunResult result : results) {
            ObjectNode run = root.withArray("runs").addObject();
            run.put("strategy", result.strategy());
            run.put("ordinary", result.ordinaryFraction());
            run.put("disturbed", result.disturbedFraction());
            run.put("bottleneck", result.bottleneckFraction());
            run.put("recovery_ms", result.recoveryMillis());
            run.put("worst_team", result.worstTeamFraction());
            run.put("in_rate_refusals", result.inRateRefusalFraction());
            run.put("ran_twice", result.keysRunTwice());
            run.put("keys_seen", result.requestsWithCallerKey());
            run.put("p50_ms", result.medianMillis());
            run.put("p99_ms", result.p99Millis());
            for (long at = 0; at < result.endMillis(); at += SERIES_STEP_MILLIS) {
                long offered = result.statistics().count(true, "", "", at, at + SERIES_STEP_MILLIS);
                long succeeded = result.statistics().count(false, "", "", at, at + SERIES_STEP_MILLIS);
                run.withArray("answered_per_half_second").add(succeeded + "/" + offered);
            }
            run.set("flows", JSON.valueToTree(result.flowFractions()));
            run.set("refusals", JSON.valueToTree(result.refusals()));
        }
        return root.toString();
    }

    /**
     * Plots the goodput over time of the first run of each strategy.
     *
     * @param file SVG file to write
     * @param seconds length of the runs
     */
    public void plot(Path file, int seconds) {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("Goodput, " + scenario.label() + ", " + deployment.name().toLowerCase(Locale.ROOT))
                .xAxisTitle("seconds")
                .yAxisTitle("whole requests a second")
                .build();
        for (String strategy : strategies()) {
            RequestStatistics statistics = results.stream()
                    .filter(result -> result.strategy().equals(strategy))
                    .findFirst()
                    .orElseThrow()
                    .statistics();
            addSeries(chart, strategy, statistics, seconds);
        }
        try {
            VectorGraphicsEncoder.saveVectorGraphic(
                    chart, file.toString(), VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void addSeries(XYChart chart, String name, RequestStatistics statistics, int seconds) {
        int step = 2 * RequestStatistics.BIN_MILLIS;
        int points = seconds * 1_000 / step;
        double[] times = new double[points];
        double[] goodput = new double[points];
        for (int i = 0; i < points; i++) {
            times[i] = i * step / 1_000.0;
            goodput[i] = statistics.count(false, "", "", (long) i * step, (long) (i + 1) * step) * 1_000.0 / step;
        }
        chart.addSeries(name, times, goodput).setMarker(SeriesMarkers.NONE);
    }
}
