package org.heatherhaven.node.metrics;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Timing;
import org.heatherhaven.core.model.AnswerAnomaly;
import org.heatherhaven.core.model.Reason;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramResetOnSnapshotReservoir;

/** Counters, gauges and latency histograms of a node. Refusals and retries have a counter for each reason. */
public final class NodeMetrics {

    private final MetricRegistry registry = new MetricRegistry();
    private final Map<Reason, Counter> entryRefusals = new EnumMap<>(Reason.class);
    private final Map<Reason, Counter> targetRefusals = new EnumMap<>(Reason.class);
    private final Map<Reason, Counter> retries = new EnumMap<>(Reason.class);
    private final Map<AnswerAnomaly, Counter> anomalies = new EnumMap<>(AnswerAnomaly.class);
    private final Map<Timing, Histogram> latencies = new EnumMap<>(Timing.class);
    private final Counter callsForwarded = registry.counter("calls.forwarded");
    private final Counter offersRun = registry.counter("calls.run");
    private final Counter completeResponses = registry.counter("calls.answered");
    private final Counter incompleteResponses = registry.counter("calls.broken-off");
    private final Counter messagesSent = registry.counter("control.messages-sent");
    private final Counter platformCalls = registry.counter("platform.calls");
    private final Counter rejectedConnections = registry.counter("peers.turned-away");

    /** Creates all counters at once, so that counters without events are exported as zero. */
    public NodeMetrics() {
        for (Timing timing : Timing.values()) {
            latencies.put(
                    timing,
                    registry.histogram(
                            timing.label(), () -> new Histogram(new HdrHistogramResetOnSnapshotReservoir())));
        }
        for (Reason reason : Reason.values()) {
            entryRefusals.put(reason, registry.counter("refusals.entry." + reason.label()));
            targetRefusals.put(reason, registry.counter("refusals.target." + reason.label()));
            retries.put(reason, registry.counter("retries." + reason.label()));
        }
        for (AnswerAnomaly anomaly : AnswerAnomaly.values()) {
            anomalies.put(anomaly, registry.counter("target.anomalies." + anomaly.label()));
        }
    }

    /**
     * Counts the outcome, message or duration that an effect represents; other effects are ignored.
     *
     * @param effect the effect
     */
    public void count(Effect effect) {
        if (effect instanceof Effect.RefuseCall refuse) {
            countEntryRefusal(refuse.refusal().reason());
        } else if (effect instanceof Effect.RefuseOffer refuse) {
            targetRefusals.get(refuse.refusal().reason()).inc();
        } else if (effect instanceof Effect.CountRetry retry) {
            retries.get(retry.reason()).inc();
        } else if (effect instanceof Effect.CountAnomaly seen) {
            anomalies.get(seen.anomaly()).inc();
        } else if (effect instanceof Effect.ForwardCall) {
            callsForwarded.inc();
        } else if (effect instanceof Effect.RunOffer) {
            offersRun.inc();
        } else if (effect instanceof Effect.FinishOffer finish) {
            (finish.complete() ? completeResponses : incompleteResponses).inc();
        } else if (effect instanceof Effect.RecordDuration measured) {
            latencies
                    .get(measured.timing())
                    .update(TimeUnit.NANOSECONDS.toMicros(measured.duration().toNanos()));
        } else if (effect instanceof Effect.Send) {
            messagesSent.inc();
        }
    }

    /**
     * Counts a refusal at the entry node. Also used for calls that are refused before they reach the reducer.
     *
     * @param reason reason of the refusal
     */
    public void countEntryRefusal(Reason reason) {
        entryRefusals.get(reason).inc();
    }

    /** Counts a call to the platform. */
    public void countPlatformCall() {
        platformCalls.inc();
    }

    /** Counts a rejected connection of a peer. */
    public void countRejectedConnection() {
        rejectedConnections.inc();
    }

    /**
     * Adds a gauge.
     *
     * @param name name of the gauge
     * @param gauge supplies its value
     */
    public void addGauge(String name, Gauge<Number> gauge) {
        registry.registerGauge(name, gauge);
    }

    /**
     * Returns all values in the Prometheus text format. Latencies are in microseconds; the histograms are reset by this
     * call, so that each result covers the time since the previous one.
     *
     * @return the text
     */
    public String toPrometheusText() {
        CollectorRegistry collectors = new CollectorRegistry();
        new DropwizardExports(registry).register(collectors);
        StringWriter out = new StringWriter();
        try {
            TextFormat.write004(out, collectors.metricFamilySamples());
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory failed", e);
        }
        return out.toString();
    }

    /**
     * Returns the values of all counters and gauges by name.
     *
     * @return values ordered by name
     */
    public Map<String, Number> values() {
        Map<String, Number> values = new TreeMap<>();
        registry.getCounters().forEach((name, counter) -> values.put(name, counter.getCount()));
        registry.getGauges().forEach((name, gauge) -> values.put(name, (Number) gauge.getValue()));
        return values;
    }
}
