package org.heatherhaven.node.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.Example;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.ControlEvent;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.logic.node.NodeRules;
import org.heatherhaven.core.logic.node.NodeState;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.MemberStatus;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Zone;

/** An effect that fails hides no other effect of its event: those may belong to other calls. */
class FailedEffectTest {

    private static final Member SELF =
            new Member(new NodeId("10.0.0.1:7000"), 17, 0, MemberStatus.ALIVE, new Zone("r", "z"), "pricing", 15);

    private static List<String> effectsRun(Throwable failure) {
        Mailbox<Event> mailbox = new Mailbox<>(10);
        SteadyClock clock = new SteadyClock();
        List<String> run = new ArrayList<>();
        NodeState start = NodeState.start(NodeRules.defaults(1), SELF, Optional.empty(), clock.instant());
        ControlLoop[] loop = new ControlLoop[1];
        loop[0] = new ControlLoop(start, mailbox, clock, effect -> {
            run.add(effect.getClass().getSimpleName());
            if (effect instanceof Effect.RecordDecision) {
                loop[0].stop();
            }
            if (failure instanceof RuntimeException e) {
                throw e;
            }
            if (failure instanceof Error e) {
                throw e;
            }
        });
        mailbox.put(new ControlEvent.DrainRequested());
        loop[0].run();
        return run;
    }

    @Example
    void theOtherEffectsOfTheEventAreRun() {
        List<String> expected = effectsRun(null);
        for (Throwable failure : List.of(new IllegalArgumentException("port out of range"), new StackOverflowError())) {
            List<String> seen = effectsRun(failure);
            if (!expected.equals(seen) || expected.size() < 2) {
                throw new AssertionError("expected " + expected + ", seen " + seen + " with " + failure);
            }
        }
    }
}
