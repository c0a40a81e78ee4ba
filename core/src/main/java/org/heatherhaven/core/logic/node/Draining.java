package org.heatherhaven.core.logic.node;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.logic.admission.GuardLogic;
import org.heatherhaven.core.logic.membership.MembershipLogic;
import org.heatherhaven.core.model.MemberStatus;

/** A planned stop: no new work, everything in flight finished, rights handed over, then away. */
final class Draining {

    /** Time for hand-overs after the last call, before the node leaves without them. */
    private static final Duration HAND_OVER_LIMIT = Duration.ofSeconds(4);

    private Draining() {}

    static void begin(Step step) {
        if (step.drainingSince.isPresent()) {
            return;
        }
        step.drainingSince = Optional.of(step.now);
        step.guard =
                GuardLogic.drain(step.guard, step.now.plus(step.rules.drain().grace()));
        step.fleet =
                MembershipLogic.announceSelf(step.fleet, MemberStatus.DRAINING, step.rumours(), step.now, step.out);
        step.note("node", "drain", step.guard.inFlight() + " calls in flight", "draining");
    }

    static void tick(Step step) {
        Instant since = step.drainingSince.orElse(step.now);
        if (step.now.isBefore(since.plus(step.rules.drain().grace()))) {
            return;
        }
        HandOvers.send(step);
        boolean idle = step.guard.inFlight() == 0 && step.calls.calls().isEmpty();
        Instant handOverEnd = since.plus(step.rules.drain().grace()).plus(HAND_OVER_LIMIT);
        boolean handedOver = !HandOvers.pending(step) || !step.now.isBefore(handOverEnd);
        boolean overdue = !step.now.isBefore(since.plus(step.rules.drain().limit()));
        if ((idle && handedOver) || overdue) {
            leave(step, idle);
        }
    }

    private static void leave(Step step, boolean idle) {
        step.fleet = MembershipLogic.announceSelf(step.fleet, MemberStatus.LEFT, step.rumours(), step.now, step.out);
        step.out.add(new Effect.RemoveAnnouncement(step.rights.self()));
        step.note("node", "leave", idle ? "nothing in flight" : "the drain limit passed", "left");
        step.out.add(new Effect.Terminate());
    }
}
