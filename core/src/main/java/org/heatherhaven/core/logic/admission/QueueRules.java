package org.heatherhaven.core.logic.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;

import org.heatherhaven.core.logic.pressure.ShedRule;

/** In which order calls wait for the target, how many, and which of them wait in vain. */
final class QueueRules {

    /** A target always gets one call at a time, however badly it does. */
    static final double MIN_LIMIT = 1;

    /** Time that calls in the queue should wait at most. */
    private static final Duration TARGET_QUEUE_DELAY = Duration.ofMillis(100);

    private static final int MIN_QUEUE_LENGTH = 8;
    private static final int MAX_QUEUE_LENGTH = 512;

    /** The more important first, then what must be answered earliest to be worth the most. */
    private static final Comparator<QueuedCall> BY_URGENCY = Comparator.comparingInt((QueuedCall call) ->
                    ShedRule.urgency(call.head().teamImportance(), call.head().importance()))
            .thenComparing(call -> call.arrivedAt().plusMillis(call.head().aimMillis()));

    private QueueRules() {}

    /** Importance first, then work already begun, then the team served least, then the same cohorts everywhere. */
    static Comparator<QueuedCall> order(AdmissionState state) {
        if (state.mode().ranked()) {
            return BY_URGENCY;
        }
        return Comparator.comparingInt(
                        (QueuedCall call) -> call.head().importance().rank())
                .thenComparing(call -> !call.nested())
                .thenComparingDouble(
                        call -> state.served().getOrDefault(call.head().team(), 0.0))
                .thenComparingInt(QueuedCall::bucket)
                .thenComparing(QueuedCall::arrivedAt);
    }

    /** Time from now until a call that joins the queue would be answered, at best. */
    static Duration expectedWait(AdmissionState state) {
        double rounds = (state.queue().size() + 1) / Math.max(MIN_LIMIT, state.limit());
        return Duration.ofNanos((long) (state.serviceTime().toNanos() * (rounds + 1)));
    }

    /** Calls that may wait, so that the last of them waits for about the aim of the queue. */
    static int capacity(AdmissionState state) {
        if (state.serviceTime().isZero()) {
            return MIN_QUEUE_LENGTH;
        }
        double perTarget = state.limit()
                * TARGET_QUEUE_DELAY.toNanos()
                / state.serviceTime().toNanos();
        return (int) Math.min(MAX_QUEUE_LENGTH, Math.max(MIN_QUEUE_LENGTH, perTarget));
    }

    /** An idle target always gets a call, or a service time that was long once would never be measured again. */
    static boolean cannotFinishInTime(AdmissionState state, QueuedCall call, Instant now) {
        return (state.mode().shedsBuckets() || state.mode().ranked())
                && !state.running().isEmpty()
                && state.serviceTime().compareTo(Duration.between(now, call.deadline())) > 0;
    }
}
