package org.heatherhaven.core.logic.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;

import org.heatherhaven.core.logic.pressure.ShedRule;

/** Order and capacity of a target's queue, and the calls in it that would miss their deadlines. */
final class QueueRules {

    /** Lowest concurrency limit: even a failing target gets one call at a time. */
    static final double MIN_LIMIT = 1;

    /** Time that calls should wait in the queue at most; determines its capacity. */
    private static final Duration DESIRED_QUEUE_DELAY = Duration.ofMillis(100);

    private static final int MIN_QUEUE_LENGTH = 8;
    private static final int MAX_QUEUE_LENGTH = 512;

    /** Most urgent first, then earliest time by which the answer meets the latency objective of its route. */
    private static final Comparator<QueuedCall> BY_URGENCY = Comparator.comparingInt((QueuedCall call) ->
                    ShedRule.urgency(call.head().teamImportance(), call.head().importance()))
            .thenComparing(call -> call.arrivedAt().plusMillis(call.head().aimMillis()));

    private QueueRules() {}

    /**
     * Returns the order of the queue, first call first: by urgency in mode RANKED. Otherwise by importance, then calls
     * of requests that are already in progress, then the team with the fewest recent starts, then the lower hash bucket
     * (the same on every node), then arrival.
     */
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

    /** Returns the estimated time, at best, until a call that joins the queue now would be answered. */
    static Duration expectedWait(AdmissionState state) {
        double rounds = (state.queue().size() + 1) / Math.max(MIN_LIMIT, state.limit());
        return Duration.ofNanos((long) (state.serviceTime().toNanos() * (rounds + 1)));
    }

    /** Returns the number of calls that may wait, so that the last one waits for about {@link #DESIRED_QUEUE_DELAY}. */
    static int capacity(AdmissionState state) {
        if (state.serviceTime().isZero()) {
            return MIN_QUEUE_LENGTH;
        }
        double callsWithinDelay = state.limit()
                * DESIRED_QUEUE_DELAY.toNanos()
                / state.serviceTime().toNanos();
        return (int) Math.min(MAX_QUEUE_LENGTH, Math.max(MIN_QUEUE_LENGTH, callsWithinDelay));
    }

    /**
     * Returns whether a queued call would miss its deadline at the target. An idle target always gets a call, because
     * an overestimated service time would otherwise never be measured again.
     */
    static boolean cannotFinishInTime(AdmissionState state, QueuedCall call, Instant now) {
        return (state.mode().shedsBuckets() || state.mode().ranked())
                && !state.running().isEmpty()
                && state.serviceTime().compareTo(Duration.between(now, call.deadline())) > 0;
    }
}
