package org.heatherhaven.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

import net.jqwik.api.Example;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Timing;
import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.message.PolicyPull;
import org.heatherhaven.core.model.AnswerAnomaly;
import org.heatherhaven.core.model.AttemptKind;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.core.model.TargetRef;
import org.heatherhaven.node.metrics.NodeMetrics;
import org.heatherhaven.node.settings.NodeSettings;
import org.heatherhaven.node.settings.NodeSettingsReader;
import org.heatherhaven.node.settings.TomlTable;

/** Guards the names, labels and values on the metrics pages, which collectors and operators' alerts depend on. */
class RecordedMetricsTest {

    private static final OfferKey KEY = new OfferKey(1, 2);
    private static final NodeId PEER = new NodeId("10.0.0.1:7300");
    private static final CallHead HEAD = new CallHead(
            "request-1",
            "root-1",
            "shop.example",
            "GET",
            "/x",
            List.of(),
            "origin",
            "service",
            "route",
            "team",
            Importance.HIGH,
            Importance.HIGH,
            0,
            1_000,
            200,
            1,
            false,
            AttemptKind.FIRST,
            7);

    private static void repeat(int count, Runnable action) {
        for (int i = 0; i < count; i++) {
            action.run();
        }
    }

    /** Increments every counter; counters that could be swapped by mistake get different values. */
    private static void countEverything(NodeMetrics metrics) {
        for (Reason reason : Reason.values()) {
            int length = reason.label().length();
            Refusal refusal = Refusal.notRun(reason, "why");
            repeat(length, () -> metrics.count(new Effect.RefuseCall(1, "request-1", 7, refusal)));
            metrics.countEntryRefusal(reason);
            repeat(2 * length, () -> metrics.count(new Effect.RefuseOffer(KEY, refusal, Signal.withoutOverload(0))));
            repeat(3 * length, () -> metrics.count(new Effect.CountRetry(reason)));
        }
        for (AnswerAnomaly anomaly : AnswerAnomaly.values()) {
            repeat(anomaly.ordinal() + 1, () -> metrics.count(new Effect.CountAnomaly(anomaly)));
        }
        repeat(1, () -> metrics.count(new Effect.ForwardCall(1, 1, PEER, HEAD)));
        TargetRef target = new TargetRef("i-1", "10.0.0.1:80");
        repeat(2, () -> metrics.count(new Effect.RunOffer(KEY, target, "context", Duration.ofMillis(9))));
        repeat(3, () -> metrics.count(new Effect.FinishOffer(KEY, true, Signal.withoutOverload(0))));
        repeat(4, () -> metrics.count(new Effect.FinishOffer(KEY, false, Signal.withoutOverload(0))));
        repeat(5, () -> metrics.count(new Effect.Send(PEER, new PolicyPull(PEER, 7))));
        repeat(6, metrics::countPlatformCall);
        repeat(7, metrics::countRejectedConnection);
        for (Timing timing : Timing.values()) {
            metrics.count(new Effect.RecordDuration(
                    timing, Duration.ofMillis(timing.label().length())));
        }
    }

    private static NodeMetrics metricsOfANode() {
        NodeSettings settings =
                NodeSettingsReader.read(TomlTable.parse("node.toml", RecordedText.read("settings/least.toml")));
        List<NodeMetrics> created = new ArrayList<>();
        NodeDaemon node = new NodeDaemon(settings, dependencies -> {
            created.add(dependencies.metrics());
            return new DefaultIntegration(settings, dependencies);
        });
        if (node.ready()) {
            throw new AssertionError("ready before its start");
        }
        return created.get(0);
    }

    @Example
    void theTextPageIsAsRecorded() {
        NodeMetrics metrics = new NodeMetrics();
        countEverything(metrics);
        metrics.addGauge("a.gauge-of-mine", () -> 42);
        RecordedText.require("metrics/text.txt", RecordedText.normalizedMetrics(metrics.toPrometheusText()));
    }

    @Example
    void theNamesAndValuesAreAsRecorded() {
        NodeMetrics metrics = new NodeMetrics();
        countEverything(metrics);
        metrics.addGauge("a.gauge-of-mine", () -> 42);
        List<String> seen = new ArrayList<>();
        metrics.values().forEach((name, value) -> seen.add(name + " " + value));
        RecordedText.require("metrics/values.txt", seen);
    }

    @Example
    void theNamesAndLabelsOfANodeAreAsRecorded() {
        TreeSet<String> names = new TreeSet<>();
        for (String line : RecordedText.normalizedMetrics(metricsOfANode().toPrometheusText())) {
            Optional.of(line)
                    .filter(sample -> !sample.startsWith("#"))
                    .map(sample -> sample.substring(0, sample.lastIndexOf(' ')))
                    .ifPresent(names::add);
        }
        RecordedText.require("metrics/names.txt", List.copyOf(names));
    }
}
