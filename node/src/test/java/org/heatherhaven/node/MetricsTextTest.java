package org.heatherhaven.node;

import java.time.Duration;

import net.jqwik.api.Example;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Timing;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.node.metrics.NodeMetrics;

/** Guards that the Prometheus page counts refusals by reason and shows the recorded latencies. */
class MetricsTextTest {

    private static void requireLine(String text, String start, String end) {
        boolean found = text.lines().anyMatch(line -> line.startsWith(start) && line.endsWith(end));
        if (!found) {
            throw new AssertionError("no line " + start + " ... " + end + " in\n" + text);
        }
    }

    @Example
    void aRefusalIsCountedUnderItsReason() {
        NodeMetrics metrics = new NodeMetrics();
        metrics.count(new Effect.RefuseCall(1, "id", 1, Refusal.notRun(Reason.QUEUE_FULL, "full")));
        requireLine(metrics.toPrometheusText(), "refusals_entry_queue_full ", " 1.0");
        requireLine(metrics.toPrometheusText(), "refusals_entry_rate ", " 0.0");
    }

    @Example
    void theMedianLatencyIsThatOfTheRecordedCalls() {
        NodeMetrics metrics = new NodeMetrics();
        metrics.count(new Effect.RecordDuration(Timing.WHOLE_CALL, Duration.ofMillis(1)));
        String text = metrics.toPrometheusText();
        requireLine(text, "latency_whole_call{quantile=\"0.5\",}", " 1003.0");
        requireLine(text, "latency_whole_call_count", " 1.0");
    }
}
