package org.heatherhaven.standin.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import org.HdrHistogram.Histogram;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.Dsl;
import org.heatherhaven.standin.fleet.Deployment;
import org.heatherhaven.standin.fleet.EmbeddedFleet;
import org.heatherhaven.standin.fleet.FleetPolicy;

/**
 * Measures the latency that the path through two nodes adds to a call, compared with direct calls in the same run.
 *
 * <p>The target responds immediately. Calls start at planned times, alternately direct and through the nodes, and
 * latency counts from the planned time.
 */
public final class Overhead {

    private static final String SERVICE = "inventory";
    private static final String PATH = "/inventory/check";
    private static final double IMMEDIATE_RESPONSE = 1e-6;
    private static final double RATE_FACTOR = 4;
    private static final long MAX_LATENCY_MICROS = 10_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;

    private final int callsPerSecond;
    private final int seconds;
    private final Consumer<String> out;

    /**
     * Creates the measurement.
     *
     * @param callsPerSecond calls started per second, half of them direct
     * @param seconds length of the measured load; an equally long warm-up runs before it
     * @param out receives the lines of the report
     */
    public Overhead(int callsPerSecond, int seconds, Consumer<String> out) {
        this.callsPerSecond = callsPerSecond;
        this.seconds = seconds;
        this.out = out;
    }

    /** Runs the measurement and prints percentiles of both paths. */
    public void run() {
        try (EmbeddedFleet fleet = new EmbeddedFleet(Deployment.QALEEN, Strategy.HEATHERHAVEN.rules(1), 1);
                AsyncHttpClient client = Dsl.asyncHttpClient()) {
            fleet.applyPatch(FleetPolicy.initialPatch(Deployment.QALEEN, RATE_FACTOR));
            fleet.setSlowness(SERVICE, IMMEDIATE_RESPONSE);
            sendCalls(
                    fleet,
                    client,
                    new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS),
                    new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS));
            Histogram direct = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
            Histogram throughNodes = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
            sendCalls(fleet, client, direct, throughNodes);
            printPercentiles(direct, throughNodes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (TimeoutException e) {
            throw new IllegalStateException("the initial policy was not applied in time", e);
        }
    }

    private void sendCalls(EmbeddedFleet fleet, AsyncHttpClient client, Histogram direct, Histogram throughNodes) {
        long gap = Duration.ofSeconds(1).toNanos() / callsPerSecond;
        long next = System.nanoTime();
        int target = fleet.firstNodeOf(SERVICE);
        int entry = fleet.firstNodeOf(Deployment.QALEEN.bottleneck().name());
        for (int i = 0; i < callsPerSecond * seconds; i++) {
            next += gap;
            LockSupport.parkNanos(next - System.nanoTime());
            boolean isDirect = i % 2 == 0;
            BoundRequestBuilder request = isDirect
                    ? client.prepareGet(fleet.targetUrl(target) + PATH)
                    : client.prepareGet(fleet.callerUrl(entry) + PATH)
                            .addHeader("Authorization", "Bearer " + FleetPolicy.teamKey(0));
            send(request, next, isDirect ? direct : throughNodes);
        }
        LockSupport.parkNanos(Duration.ofSeconds(1).toNanos());
    }

    private static void send(BoundRequestBuilder request, long intendedNanos, Histogram histogram) {
        request.execute().toCompletableFuture().thenAccept(response -> {
            long micros = (System.nanoTime() - intendedNanos) / 1_000;
            synchronized (histogram) {
                histogram.recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(1, micros)));
            }
        });
    }

    private void printPercentiles(Histogram direct, Histogram throughNodes) {
        out.accept("| percentile | direct, ms | through two nodes, ms | added, ms |");
        out.accept("|---|---|---|---|");
        for (double percentile : new double[] {50, 90, 99}) {
            double without = direct.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
            double with = throughNodes.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
            out.accept(String.format(
                    Locale.ROOT, "| %.0f | %.2f | %.2f | %.2f |", percentile, without, with, with - without));
        }
    }
}
