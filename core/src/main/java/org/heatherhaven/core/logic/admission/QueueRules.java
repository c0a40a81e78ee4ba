package org.heatherhaven.core.logic.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;

import org.heatherhaven.core.logic.pressure.ShedRule;

/** In which order calls wait for the target, how many, and which of them wait in vain. */
final class QueueRules {

    /** A target always gets one call at a time, however badly it does. */
    static final double LIMIT_MIN = 1;

    /** Time that calls in the queue should wait at most. */
    private static final Duration QUEUE_TARGET = Duration.ofMillis(100);

    private static final int QUEUE_MIN = 8;
    private static final int QUEUE_MAX = 512;

    /** The more important first, then what must be answered earliest to be worth the most. */
    private static final Comparator<Waiting> RANKED = Comparator.comparingInt((Waiting call) ->
                    ShedRule.urgency(call.head().teamImportance(), call.head().importance()))
            .thenComparing(call -> call.arrivedAt().plusMillis(call.head().aimMillis()));

    private QueueRules() {}

    /** Importance first, then work already begun, then the team served least, then the same cohorts everywhere. */
    static Comparator<Waiting> order(GuardState state) {
        if (state.mode().ranked()) {
            return RANKED;
        }
        return Comparator.comparingInt(
                        (Waiting call) -> call.head().importance().rank())
                .thenComparing(call -> !call.nested())
                .thenComparingDouble(
                        call -> state.served().getOrDefault(call.head().team(), 0.0))
                .thenComparingInt(Waiting::cohort)
                .thenComparing(Waiting::arrivedAt);
    }

    /** Time from now until a call that joins the queue would be answered, at best. */
    static Duration expectedWait(GuardState state) {
        double rounds = (state.queue().size() + 1) / Math.max(LIMIT_MIN, state.limit());
        return Duration.ofNanos((long) (state.serviceTime().toNanos() * (rounds + 1)));
    }

    /** Calls that may wait, so that the last of them waits for about the aim of the queue. */
    static int capacity(GuardState state) {
        if (state.serviceTime().isZero()) {
            return QUEUE_MIN;
        }
        double perTarget =
                state.limit() * QUEUE_TARGET.toNanos() / state.serviceTime().toNanos();
        return (int) Math.min(QUEUE_MAX, Math.max(QUEUE_MIN, perTarget));
    }

    /** An idle target always gets a call, or a service time that was long once would never be measured again. */
    static boolean hopeless(GuardState state, Waiting call, Instant now) {
        return (state.mode().sheds() || state.mode().ranked())
                && !state.running().isEmpty()
                && state.serviceTime().compareTo(Duration.between(now, call.deadline())) > 0;
    }
}
