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
    private static final Duration HANDOVER_LIMIT = Duration.ofSeconds(4);

    private Draining() {}

    static void begin(EventContext step) {
        if (step.drainingSince.isPresent()) {
            return;
        }
        step.drainingSince = Optional.of(step.now);
        step.admission = GuardLogic.drain(
                step.admission, step.now.plus(step.rules.drain().grace()));
        step.fleet = MembershipLogic.announceSelf(
                step.fleet, MemberStatus.DRAINING, step.gossipUpdate(), step.now, step.out);
        step.recordDecision("node", "drain", step.admission.inFlight() + " calls in flight", "draining");
    }

    static void tick(EventContext step) {
        Instant since = step.drainingSince.orElse(step.now);
        if (step.now.isBefore(since.plus(step.rules.drain().grace()))) {
            return;
        }
        LeaseHandovers.sendHeldLeases(step);
        boolean idle =
                step.admission.inFlight() == 0 && step.entryCalls.byNumber().isEmpty();
        Instant handOverEnd = since.plus(step.rules.drain().grace()).plus(HANDOVER_LIMIT);
        boolean handedOver = !LeaseHandovers.pending(step) || !step.now.isBefore(handOverEnd);
        boolean overdue = !step.now.isBefore(since.plus(step.rules.drain().limit()));
        if ((idle && handedOver) || overdue) {
            leave(step, idle);
        }
    }

    private static void leave(EventContext step, boolean idle) {
        step.fleet =
                MembershipLogic.announceSelf(step.fleet, MemberStatus.LEFT, step.gossipUpdate(), step.now, step.out);
        step.out.add(new Effect.RemoveAnnouncement(step.leases.self()));
        step.recordDecision("node", "leave", idle ? "nothing in flight" : "the drain limit passed", "left");
        step.out.add(new Effect.Leave());
    }
}
