package org.heatherhaven.core.logic.node;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.logic.admission.AdmissionLogic;
import org.heatherhaven.core.logic.membership.MembershipLogic;
import org.heatherhaven.core.model.MemberStatus;

/**
 * Runs a planned stop of the node: after a grace period it refuses new calls, finishes those in flight, hands its
 * leases over, and then leaves the fleet.
 */
final class Draining {

    /** Time after the grace period within which leases are handed over; then the node leaves without finishing that. */
    private static final Duration HANDOVER_LIMIT = Duration.ofSeconds(4);
    /** Time after the drain limit for the nodes of the targets to tell whether withdrawn calls have run. */
    private static final Duration WITHDRAWAL_LIMIT = Duration.ofMillis(300);

    private Draining() {}

    /** Starts the drain and announces it to the fleet; has no effect if it has started already. */
    static void begin(EventContext context) {
        if (context.drainingSince.isPresent()) {
            return;
        }
        context.drainingSince = Optional.of(context.now);
        context.admission = AdmissionLogic.drain(
                context.admission, context.now.plus(context.rules.drain().grace()));
        context.fleet = MembershipLogic.announceStatus(
                context.fleet, MemberStatus.DRAINING, context.gossipUpdate(), context.now, context.out);
        context.recordDecision("node", "drain", context.admission.inFlight() + " calls in flight", "draining");
    }

    /**
     * Hands leases over once the grace period has passed. Leaves the fleet when no calls are left and the handover is
     * done or timed out. When the drain limit has passed, the calls that are left are withdrawn, and those whose end is
     * not known soon are refused, so that the node never ends with a call unanswered.
     */
    static void tick(EventContext context) {
        Instant since = context.drainingSince.orElse(context.now);
        if (context.now.isBefore(since.plus(context.rules.drain().grace()))) {
            return;
        }
        LeaseHandovers.sendHeldLeases(context);
        Instant limit = since.plus(context.rules.drain().limit());
        boolean overdue = !context.now.isBefore(limit);
        if (overdue) {
            withdrawCalls(context);
        }
        boolean idle = context.admission.inFlight() == 0
                && context.entryCalls.byNumber().isEmpty();
        Instant handoverDeadline = since.plus(context.rules.drain().grace()).plus(HANDOVER_LIMIT);
        boolean handedOver = !LeaseHandovers.pending(context) || !context.now.isBefore(handoverDeadline);
        boolean withdrawalOver = !context.now.isBefore(limit.plus(WITHDRAWAL_LIMIT));
        if (idle && (handedOver || overdue) || withdrawalOver) {
            context.entryCalls.byNumber().values().forEach(call -> Attempts.refuseStopping(context, call));
            leave(context, idle);
        }
    }

    private static void withdrawCalls(EventContext context) {
        context.admission = AdmissionLogic.refuseQueued(context.admission, context.out);
        context.entryCalls.byNumber().values().forEach(call -> Attempts.withdraw(context, call));
    }

    /**
     * Announces the departure, removes this node's announcement from the platform, and ends the process.
     *
     * @param idle false if the node leaves with calls in flight
     */
    private static void leave(EventContext context, boolean idle) {
        context.fleet = MembershipLogic.announceStatus(
                context.fleet, MemberStatus.LEFT, context.gossipUpdate(), context.now, context.out);
        context.out.add(new Effect.RemoveAnnouncement(context.leases.self()));
        context.recordDecision("node", "leave", idle ? "nothing in flight" : "the drain limit passed", "left");
        context.out.add(new Effect.Terminate());
    }
}
