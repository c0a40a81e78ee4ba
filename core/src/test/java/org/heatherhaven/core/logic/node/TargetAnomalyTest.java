package org.heatherhaven.core.logic.node;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.heatherhaven.core.effect.Decision;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.TrafficEvent;
import org.heatherhaven.core.model.AnswerAnomaly;
import org.heatherhaven.core.recorded.FixedFleet;

/** What a target sends beside or instead of the response to a call can be looked up by the request's id. */
class TargetAnomalyTest {

    @Property
    void anAnomalyIsRecordedUnderItsRequestAndCounted(@ForAll AnswerAnomaly anomaly) {
        NodeState start =
                NodeState.start(NodeRules.defaults(1), FixedFleet.nine().get(0), FixedFleet.NOW);
        TrafficEvent event = new TrafficEvent.TargetAnomalySeen("request-1", anomaly, "12 bytes");
        List<Effect> expected = List.of(
                new Effect.RecordDecision(
                        new Decision("request-1", FixedFleet.NOW, 0, "target answer", "12 bytes", anomaly.label())),
                new Effect.CountAnomaly(anomaly));
        List<Effect> seen = NodeReducer.reduce(start, event, FixedFleet.NOW).effects();
        if (!seen.equals(expected)) {
            throw new AssertionError("expected " + expected + ", saw " + seen);
        }
    }
}
