package org.heatherhaven.core.logic.node;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.event.PlatformEvent;
import org.heatherhaven.core.event.TrafficEvent;
import org.heatherhaven.core.event.TrafficEvent.AttemptLost;
import org.heatherhaven.core.event.TrafficEvent.AttemptRefused;
import org.heatherhaven.core.fleet.Policies;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.KeyGrant;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.core.model.Team;
import org.heatherhaven.core.recorded.FixedFleet;

/** All attempts of a call bear its request id, so no target may get two: it could confuse the answers to them. */
class AttemptTargetsTest {

    private static final int RETRIES_LEFT = 3;

    private enum End {
        BUSY,
        FAILED,
        NOT_REACHED,
        LOST;

        private Event of(int attempt) {
            return switch (this) {
                case BUSY -> refused(attempt, Refusal.notRun(Reason.TARGET_OVERLOADED, "busy"));
                case FAILED -> refused(attempt, Refusal.unknown(Reason.TARGET_FAILED, "failed"));
                case NOT_REACHED -> new AttemptLost(1, attempt, Outcome.NOT_RUN, true);
                case LOST -> new AttemptLost(1, attempt, Outcome.UNKNOWN, true);
            };
        }

        private static Event refused(int attempt, Refusal refusal) {
            return new AttemptRefused(1, attempt, refusal, Signal.withoutOverload(RETRIES_LEFT), true);
        }
    }

    private static final TrafficEvent ARRIVAL = new TrafficEvent.CallArrived(
            1,
            TrafficEvent.EntryPoint.CALLER,
            new TrafficEvent.CallRequest(
                    Optional.of("request-1"),
                    "inn.example",
                    "GET",
                    "/pricing/7",
                    List.of(),
                    Policies.key(),
                    Optional.empty(),
                    Optional.of(Duration.ofSeconds(2)),
                    Optional.empty()));

    private static final PolicySnapshot POLICY = new PolicySnapshot(
            3,
            List.of(new Team("banquets", 0, 0, 1)),
            List.of(Policies.route("quote", "/pricing", "pricing", Importance.HIGH, false, false)),
            List.of(new KeyGrant(Policies.KEY, "banquets")));

    @Property(tries = 200, seed = "20261204")
    void noTargetGetsTwoAttemptsOfACall(@ForAll int seed, @ForAll @Size(max = 6) List<End> ends) {
        List<Member> nine = FixedFleet.nine();
        NodeState state = NodeState.start(NodeRules.defaults(seed), nine.get(0), FixedFleet.NOW);
        state = reduce(state, new PlatformEvent.MembersListed(nine)).state();
        state = reduce(state, new PlatformEvent.PolicyRead(Optional.of(POLICY), List.of(), 0))
                .state();
        NodeReducer.Result result = reduce(state, ARRIVAL);
        Set<NodeId> targets = new HashSet<>();
        int attempts = requireNew(targets, result.effects());
        for (End end : ends) {
            result = reduce(result.state(), end.of(attempts));
            attempts += requireNew(targets, result.effects());
        }
        if (attempts == 0) {
            throw new AssertionError("the call was not sent");
        }
    }

    private static NodeReducer.Result reduce(NodeState state, Event event) {
        return NodeReducer.reduce(state, event, FixedFleet.NOW);
    }

    private static int requireNew(Set<NodeId> targets, List<Effect> effects) {
        int attempts = 0;
        for (Effect effect : effects) {
            if (effect instanceof Effect.ForwardCall sent) {
                attempts++;
                if (!targets.add(sent.to())) {
                    throw new AssertionError(sent.to() + " gets a second attempt");
                }
            }
        }
        return attempts;
    }
}
