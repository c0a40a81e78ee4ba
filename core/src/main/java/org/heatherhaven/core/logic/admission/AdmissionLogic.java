package org.heatherhaven.core.logic.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.effect.Timing;
import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.event.TrafficEvent.TargetResult;
import org.heatherhaven.core.logic.Hashes;
import org.heatherhaven.core.logic.admission.WindowCounts.TrafficClass;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.core.model.TargetRef;
import org.pcollections.PMap;

/** Reducer that decides which calls run at this node's target, wait in its queue, or are refused. */
public final class AdmissionLogic {

    /** How long queued calls may still be started at a target that has stopped accepting new calls. */
    private static final Duration QUEUE_GRACE = Duration.ofMillis(700);

    /** Weight of the latest call in the smoothed service time. */
    private static final double SERVICE_TIME_SMOOTHING = 0.1;
    /** Calls added to the concurrency limit for each answered call, for targets that report no slots. */
    private static final double LIMIT_INCREASE = 0.5;

    private AdmissionLogic() {}

    /**
     * Handles an offered call: starts it, queues it, or refuses it with the outcome "not run".
     *
     * @param state the current admission state
     * @param key identifies the offer
     * @param head head of the call
     * @param now the current time
     * @param out receives the effects
     * @return the new state
     */
    public static AdmissionState offered(AdmissionState state, OfferKey key, CallHead head, Instant now, Outbox out) {
        QueuedCall call = new QueuedCall(
                key,
                head,
                QueuedCall.bucketOf(head.rootId()),
                now,
                now.plusMillis(Math.max(0, head.remainingMillis())));
        TrafficClass trafficClass = trafficClassOf(head);
        AdmissionState next = state.withWindowCounts(state.windowCounts().withArrival(trafficClass))
                .withPressureController(
                        head.attemptKind().first()
                                ? state.pressureController().withArrival()
                                : state.pressureController());
        if (!now.isBefore(state.refuseFrom())) {
            return refuse(next, call, Reason.DRAINING, "the node of the target is leaving", out);
        }
        if (!state.target().acceptsCalls(now)) {
            return refuse(next, call, Reason.NO_TARGET, "there is no target here that takes calls", out);
        }
        if (!state.target().runs(head)) {
            return refuseForOtherService(next, call, out);
        }
        if (!state.mode().limited()) {
            return run(next, call, now, out);
        }
        if (state.running().size() < (int) state.limit() && state.queue().isEmpty()) {
            return run(next, call, now, out);
        }
        next = next.withWindowCounts(next.windowCounts().withSaturation());
        if (next.mode().shedsBuckets()
                && !call.nested()
                && call.bucket() >= next.thresholds().threshold(trafficClass)) {
            return refuse(next, call, Reason.SHED_AT_TARGET, "the target sheds this cohort", out);
        }
        if (QueueRules.expectedWait(next).compareTo(Duration.between(now, call.deadline())) >= 0) {
            return refuse(next, call, Reason.TOO_LATE, "it would wait past its deadline", out);
        }
        if (next.queue().size() >= QueueRules.capacity(next)) {
            return enqueueByEviction(next, call, out);
        }
        return next.withQueue(next.queue().plus(call));
    }

    /**
     * Queues a call in a full queue instead of the queued call that ranks last. Refuses it if none ranks lower, or if
     * the queue is in order of arrival.
     */
    private static AdmissionState enqueueByEviction(AdmissionState state, QueuedCall call, Outbox out) {
        if (!state.mode().ordered()) {
            return refuse(state, call, Reason.QUEUE_FULL, "the queue of the target is full", out);
        }
        Comparator<QueuedCall> order = QueueRules.order(state);
        QueuedCall lowestRanked = state.queue().stream().max(order).orElse(call);
        if (order.compare(call, lowestRanked) >= 0) {
            return refuse(state, call, Reason.QUEUE_FULL, "the queue holds more important work", out);
        }
        AdmissionState next = refuse(state, lowestRanked, Reason.QUEUE_FULL, "more important work came", out);
        return next.withQueue(next.queue().minus(lowestRanked).plus(call));
    }

    /**
     * Handles the end of a call at the target: reports the result upstream and starts queued calls.
     *
     * @param state the current admission state
     * @param key identifies the offer
     * @param result result of the call at the target
     * @param now the current time
     * @param out receives the effects
     * @return the new state
     */
    public static AdmissionState ended(
            AdmissionState state, OfferKey key, TargetResult result, Instant now, Outbox out) {
        RunningCall done = state.running().get(key);
        if (done == null) {
            return state;
        }
        out.add(new Effect.RecordDuration(Timing.TARGET, Duration.between(done.startedAt(), now)));
        AdmissionState next = updateEstimates(remove(state, key, done), done, result, now);
        Signal signal = signalFor(next, done);
        switch (result) {
            case ANSWERED -> out.add(new Effect.FinishOffer(key, true, signal));
            case OVERLOADED ->
                out.add(new Effect.RefuseOffer(
                        key, Refusal.unknown(Reason.TARGET_OVERLOADED, "the target said it is overloaded"), signal));
            case REFUSED ->
                out.add(new Effect.RefuseOffer(
                        key, Refusal.notRun(Reason.TARGET_OVERLOADED, "the target had no room for the call"), signal));
            case REPLACED ->
                out.add(new Effect.RefuseOffer(
                        key,
                        Refusal.notRun(Reason.TARGET_REPLACED, "another process has the target's address"),
                        signal));
            case NOT_SENT ->
                out.add(new Effect.RefuseOffer(
                        key, Refusal.notRun(Reason.TARGET_FAILED, "the target took no connection"), signal));
            case FAILED -> out.add(new Effect.FinishOffer(key, false, signal));
            case ABORTED ->
                out.add(new Effect.RefuseOffer(
                        key, Refusal.unknown(Reason.TIMEOUT, "the deadline passed while it ran"), signal));
            default -> throw new IllegalArgumentException("result " + result);
        }
        return dispatch(next, now, out);
    }

    /** Counts the end of a call and, if it was answered, updates the service time and raises an estimated limit. */
    private static AdmissionState updateEstimates(
            AdmissionState state, RunningCall done, TargetResult result, Instant now) {
        boolean answered = result == TargetResult.ANSWERED;
        AdmissionState next = state.withWindowCounts(
                answered
                        ? state.windowCounts().withCompletion()
                        : state.windowCounts().withFailure());
        if (!answered) {
            return next;
        }
        Duration duration = Duration.between(done.startedAt(), now);
        Duration old = state.serviceTime();
        Duration smoothed = old.isZero()
                ? duration
                : old.plusNanos(
                        (long) (SERVICE_TIME_SMOOTHING * duration.minus(old).toNanos()));
        AdmissionState updated = next.withServiceTime(smoothed);
        return state.target().reportsSlots()
                ? updated
                : updated.withLimit(Math.min(state.slots(), state.limit() + LIMIT_INCREASE));
    }

    /**
     * Handles a cancellation by the caller: aborts a running call or removes a queued one.
     *
     * @param state the current admission state
     * @param key identifies the offer
     * @param out receives the effects
     * @return the new state, unchanged if the call is unknown
     */
    public static AdmissionState cancelled(AdmissionState state, OfferKey key, Outbox out) {
        if (state.running().containsKey(key)) {
            out.add(new Effect.AbortRun(key));
            return state;
        }
        Optional<QueuedCall> queued =
                state.queue().stream().filter(call -> call.key().equals(key)).findFirst();
        return queued.map(call -> refuse(
                        state.withQueue(state.queue().minus(call)), call, Reason.CALLER_GONE, "its caller left", out))
                .orElse(state);
    }

    /**
     * Aborts or removes all calls that were offered over a connection that has closed.
     *
     * @param state the current admission state
     * @param link number of the connection
     * @param out receives the effects
     * @return the new state
     */
    public static AdmissionState linkClosed(AdmissionState state, long link, Outbox out) {
        state.running().keySet().stream()
                .filter(key -> key.link() == link)
                .forEach(key -> out.add(new Effect.AbortRun(key)));
        AdmissionState next = state;
        for (QueuedCall call : state.queue()) {
            if (call.key().link() == link) {
                next = refuse(
                        next.withQueue(next.queue().minus(call)), call, Reason.CALLER_GONE, "its peer is gone", out);
            }
        }
        return next;
    }

    /**
     * Handles the periodic tick: refuses queued calls that have expired, closes the measuring window when it ends, and
     * starts queued calls.
     *
     * @param state the current admission state
     * @param now the current time
     * @param out receives the effects
     * @return the new state
     */
    public static AdmissionState tick(AdmissionState state, Instant now, Outbox out) {
        AdmissionState next = state;
        for (QueuedCall call : state.queue()) {
            if (!now.isBefore(call.deadline())) {
                next = refuse(
                        next.withQueue(next.queue().minus(call)), call, Reason.TOO_LATE, "its deadline passed", out);
            }
        }
        if (next.target().leftBefore(now.minus(QUEUE_GRACE))) {
            for (QueuedCall call : next.queue()) {
                next = refuse(
                        next.withQueue(next.queue().minus(call)), call, Reason.NO_TARGET, "the target has left", out);
            }
        }
        for (QueuedCall call : next.queue()) {
            if (!next.target().runs(call.head())) {
                next = refuseForOtherService(next.withQueue(next.queue().minus(call)), call, out);
            }
        }
        if (!now.isBefore(next.windowEndsAt())) {
            next = MeasuringWindow.close(next, now);
        }
        return dispatch(next, now, out);
    }

    /** Starts queued calls up to the concurrency limit, and refuses those that could not finish in time. */
    private static AdmissionState dispatch(AdmissionState state, Instant now, Outbox out) {
        AdmissionState next = state;
        while (!next.queue().isEmpty()
                && next.target().ref().isPresent()
                && next.running().size() < (int) Math.max(QueueRules.MIN_LIMIT, next.limit())) {
            QueuedCall best = next.mode().ordered()
                    ? next.queue().stream().min(QueueRules.order(next)).orElseThrow()
                    : next.queue().get(0);
            next = next.withQueue(next.queue().minus(best));
            if (!next.target().runs(best.head())) {
                next = refuseForOtherService(next, best, out);
                continue;
            }
            next = QueueRules.cannotFinishInTime(next, best, now)
                    ? refuse(next, best, Reason.TOO_LATE, "the target could not finish it in time", out)
                    : run(next, best, now, out);
        }
        return next;
    }

    private static AdmissionState run(AdmissionState state, QueuedCall call, Instant now, Outbox out) {
        // Only this target can present the context id, and only while it works on the call. So it must be unique but
        // need not be unguessable.
        String context = Long.toString(call.key().link(), Character.MAX_RADIX) + "-"
                + Long.toString(call.key().stream(), Character.MAX_RADIX) + "-"
                + Long.toUnsignedString(Hashes.of(call.head().requestId() + now.toEpochMilli()), Character.MAX_RADIX);
        RunningCall running = new RunningCall(call, context, now, call.head().retries(), Signal.BUCKETS, 0);
        TargetRef target = state.target().ref().orElseThrow();
        out.add(new Effect.RunOffer(call.key(), target, context, Duration.between(now, call.deadline())));
        out.add(new Effect.RecordDuration(Timing.QUEUE_WAIT, Duration.between(call.arrivedAt(), now)));
        String team = call.head().team();
        return state.withRunning(state.running().plus(call.key(), running))
                .withContexts(state.contexts().plus(context, call.key()))
                .withServed(state.served().plus(team, state.served().getOrDefault(team, 0.0) + 1));
    }

    private static AdmissionState remove(AdmissionState state, OfferKey key, RunningCall done) {
        return state.withRunning(state.running().minus(key))
                .withContexts(state.contexts().minus(done.context()));
    }

    /**
     * Refuses a call that was admitted for another service than the target runs. The sender chose this node before it
     * heard that the target's address went to a target of another service.
     */
    private static AdmissionState refuseForOtherService(AdmissionState state, QueuedCall call, Outbox out) {
        String detail = "the target here runs service " + state.target().service() + ", the call is for service "
                + call.head().service();
        return refuse(state, call, Reason.NO_TARGET, detail, out);
    }

    private static AdmissionState refuse(
            AdmissionState state, QueuedCall call, Reason reason, String detail, Outbox out) {
        Signal signal = new Signal(
                thresholdOf(state, call.head()),
                state.load(),
                pressureOf(state, call.head()),
                call.head().retries());
        out.add(new Effect.RefuseOffer(call.key(), Refusal.notRun(reason, detail), signal));
        return state;
    }

    /** Returns the signal for a call that has run; its threshold is the lowest of the target and the child calls. */
    private static Signal signalFor(AdmissionState state, RunningCall done) {
        int own = thresholdOf(state, done.call().head());
        return new Signal(
                Math.min(own, done.childThreshold()),
                state.load(),
                pressureOf(state, done.call().head()),
                done.retries());
    }

    /** Returns the higher of the target's own pressure and the pressure downstream of its runs of this route. */
    private static int pressureOf(AdmissionState state, CallHead head) {
        if (!state.mode().ranked()) {
            return 0;
        }
        return Math.max(
                state.pressureController().pressure(),
                state.downstreamPressure().getOrDefault(head.route(), 0));
    }

    /**
     * Stores the pressure downstream of the target.
     *
     * @param state the current admission state
     * @param downstreamPressure pressure in thousandths behind the calls that the target makes, by route of the calling
     *     run
     * @return the new state
     */
    public static AdmissionState downstreamPressureChanged(
            AdmissionState state, PMap<String, Integer> downstreamPressure) {
        return state.withDownstreamPressure(downstreamPressure);
    }

    private static int thresholdOf(AdmissionState state, CallHead head) {
        return state.mode().shedsBuckets() ? state.thresholds().threshold(trafficClassOf(head)) : Signal.BUCKETS;
    }

    private static TrafficClass trafficClassOf(CallHead head) {
        return new TrafficClass(head.importance(), head.team());
    }

    /**
     * Refuses new calls from a given time on because the node is shutting down; the time leaves peers a grace period to
     * receive its status by gossip.
     *
     * @param state the current admission state
     * @param from time from which new calls are refused
     * @return the new state
     */
    public static AdmissionState drain(AdmissionState state, Instant from) {
        return state.withRefuseFrom(from);
    }

    /**
     * Refuses all queued calls as not run because the node ends, which would leave their senders in doubt.
     *
     * @param state the current admission state
     * @param out receives the effects
     * @return the new state, with an empty queue
     */
    public static AdmissionState refuseQueued(AdmissionState state, Outbox out) {
        AdmissionState next = state;
        for (QueuedCall call : state.queue()) {
            next = refuse(
                    next.withQueue(next.queue().minus(call)),
                    call,
                    Reason.DRAINING,
                    "the node of the target ends",
                    out);
        }
        return next;
    }

    /**
     * Accepts calls for the given process instance of the target.
     *
     * @param state the current admission state
     * @param target reference to the process instance
     * @param service service that it runs
     * @param slots number of calls that it processes concurrently
     * @return the new state
     */
    public static AdmissionState targetAvailable(AdmissionState state, TargetRef target, String service, int slots) {
        boolean same = state.target().ref().filter(target::equals).isPresent()
                && state.target().service().equals(service);
        return same && state.slots() == slots
                ? state.withTarget(AdmissionTarget.of(target, service))
                : state.withReplacedTarget(target, service, slots);
    }

    /**
     * Refuses new calls from a given time on because the target is leaving or gone.
     *
     * @param state the current admission state
     * @param from time from which new calls are refused
     * @return the new state
     */
    public static AdmissionState targetLeaving(AdmissionState state, Instant from) {
        return state.withTarget(state.target().leaving(from));
    }
}
