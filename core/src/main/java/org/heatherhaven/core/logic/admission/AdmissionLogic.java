package org.heatherhaven.core.logic.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Map;
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

/** Reducer of the calls at this node's target. */
public final class AdmissionLogic {

    /** Length of a measuring window. */
    static final Duration WINDOW = Duration.ofMillis(100);

    /** How long calls that wait for a target that leaves may still be handed to it. */
    private static final Duration QUEUE_GRACE = Duration.ofMillis(700);

    private static final double SERVICE_TIME_SMOOTHING = 0.1;
    private static final double CAPACITY_SMOOTHING = 0.3;
    private static final double SERVED_DECAY = 0.9;
    private static final double MIN_SERVED = 0.01;
    private static final double LIMIT_DECREASE_FACTOR = 0.9;
    private static final double LIMIT_INCREASE = 0.5;
    private static final double TOLERATED_FAILURE_FRACTION = 0.1;

    private AdmissionLogic() {}

    /**
     * Takes an offered call: runs it, queues it, or refuses it with proof that it did not run.
     *
     * @param state the state
     * @param key names the offer
     * @param head the call
     * @param now current time
     * @param out takes the effects
     * @return the new state
     */
    public static AdmissionState offered(AdmissionState state, OfferKey key, CallHead head, Instant now, Outbox out) {
        QueuedCall call = new QueuedCall(
                key,
                head,
                QueuedCall.bucketOf(head.rootId()),
                now,
                now.plusMillis(Math.max(0, head.remainingMillis())));
        TrafficClass classKey = trafficClassOf(head);
        AdmissionState next = state.withDemand(state.demand().withArrival(classKey))
                .withPressureController(
                        head.kind().first() ? state.pressureController().withArrival() : state.pressureController());
        if (!now.isBefore(state.refuseFrom())) {
            return refuse(next, call, Reason.DRAINING, "the node of the target is leaving", out);
        }
        if (!state.target().acceptsCalls(now)) {
            return refuse(next, call, Reason.NO_TARGET, "there is no target here that takes calls", out);
        }
        if (!state.mode().limited()) {
            return run(next, call, now, out);
        }
        if (state.running().size() < (int) state.limit() && state.queue().isEmpty()) {
            return run(next, call, now, out);
        }
        next = next.withDemand(next.demand().withSaturation());
        if (next.mode().shedsBuckets()
                && !call.nested()
                && call.bucket() >= next.thresholds().threshold(classKey)) {
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

    private static AdmissionState enqueueByEviction(AdmissionState state, QueuedCall call, Outbox out) {
        if (!state.mode().ordered()) {
            return refuse(state, call, Reason.QUEUE_FULL, "the queue of the target is full", out);
        }
        Comparator<QueuedCall> order = QueueRules.order(state);
        QueuedCall worst = state.queue().stream().max(order).orElse(call);
        if (order.compare(call, worst) >= 0) {
            return refuse(state, call, Reason.QUEUE_FULL, "the queue holds more important work", out);
        }
        AdmissionState next = refuse(state, worst, Reason.QUEUE_FULL, "more important work came", out);
        return next.withQueue(next.queue().minus(worst).plus(call));
    }

    /**
     * Takes the end of a call at the target.
     *
     * @param state the state
     * @param key names the offer
     * @param result how it ended
     * @param now current time
     * @param out takes the effects
     * @return the new state
     */
    public static AdmissionState ended(
            AdmissionState state, OfferKey key, TargetResult result, Instant now, Outbox out) {
        RunningCall done = state.running().get(key);
        if (done == null) {
            return state;
        }
        out.add(new Effect.Measure(Timing.TARGET, Duration.between(done.startedAt(), now)));
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

    private static AdmissionState updateEstimates(
            AdmissionState state, RunningCall done, TargetResult result, Instant now) {
        boolean well = result == TargetResult.ANSWERED;
        AdmissionState next = state.withDemand(
                well ? state.demand().withCompletion() : state.demand().withFailure());
        if (!well) {
            return next;
        }
        Duration took = Duration.between(done.startedAt(), now);
        Duration old = state.serviceTime();
        Duration smoothed = old.isZero()
                ? took
                : old.plusNanos((long) (SERVICE_TIME_SMOOTHING * took.minus(old).toNanos()));
        AdmissionState learnt = next.withServiceTime(smoothed);
        return state.target().reportsSlots()
                ? learnt
                : learnt.withLimit(Math.min(state.slots(), state.limit() + LIMIT_INCREASE));
    }

    /**
     * Takes the caller's word that an answer is no longer wanted.
     *
     * @param state the state
     * @param key names the offer
     * @param out takes the effects
     * @return the new state
     */
    public static AdmissionState cancelled(AdmissionState state, OfferKey key, Outbox out) {
        if (state.running().containsKey(key)) {
            out.add(new Effect.AbortRun(key));
            return state;
        }
        Optional<QueuedCall> waiting =
                state.queue().stream().filter(call -> call.key().equals(key)).findFirst();
        return waiting.map(call -> refuse(
                        state.withQueue(state.queue().minus(call)), call, Reason.CALLER_GONE, "its caller left", out))
                .orElse(state);
    }

    /**
     * Drops all calls of a closed connection.
     *
     * @param state the state
     * @param link number of the connection
     * @param out takes the effects
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
     * Lets time pass: expires waiting calls, and closes the measuring window.
     *
     * @param state the state
     * @param now current time
     * @param out takes the effects
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
        if (!now.isBefore(next.windowEndsAt())) {
            next = closeWindow(next, now);
        }
        return dispatch(next, now, out);
    }

    private static AdmissionState closeWindow(AdmissionState state, Instant now) {
        WindowCounts demand = state.demand();
        AdmissionState next = state;
        int finished = demand.completions() + demand.failures();
        if (!state.target().reportsSlots() && demand.failures() > Math.max(1, finished * TOLERATED_FAILURE_FRACTION)) {
            next = next.withLimit(Math.max(QueueRules.MIN_LIMIT, next.limit() * LIMIT_DECREASE_FACTOR));
        }
        next = next.withServed(decayServed(next))
                .withPressureController(next.pressureController()
                        .windowClosed(WINDOW, next.limit(), next.serviceTime(), demand.saturated()));
        if (!demand.saturated() || !next.mode().shedsBuckets()) {
            return next.withWindow(next.capacity(), next.thresholds().relaxed(), now.plus(WINDOW));
        }
        double capacity = next.capacity() == 0
                ? demand.completions()
                : next.capacity() + CAPACITY_SMOOTHING * (demand.completions() - next.capacity());
        double room = capacity
                + Math.max(0, QueueRules.capacity(next) / 2.0 - next.queue().size()) / 2;
        AdmissionThresholds keeps = next.thresholds().adjusted(demand.arrivals(), room);
        return next.withWindow(capacity, keeps, now.plus(WINDOW));
    }

    private static PMap<String, Double> decayServed(AdmissionState state) {
        PMap<String, Double> served = state.served();
        for (Map.Entry<String, Double> entry : state.served().entrySet()) {
            double left = entry.getValue() * SERVED_DECAY;
            served = left < MIN_SERVED ? served.minus(entry.getKey()) : served.plus(entry.getKey(), left);
        }
        return served;
    }

    private static AdmissionState dispatch(AdmissionState state, Instant now, Outbox out) {
        AdmissionState next = state;
        while (!next.queue().isEmpty()
                && next.target().ref().isPresent()
                && next.running().size() < (int) Math.max(QueueRules.MIN_LIMIT, next.limit())) {
            QueuedCall best = next.mode().ordered()
                    ? next.queue().stream().min(QueueRules.order(next)).orElseThrow()
                    : next.queue().get(0);
            next = next.withQueue(next.queue().minus(best));
            next = QueueRules.cannotFinishInTime(next, best, now)
                    ? refuse(next, best, Reason.TOO_LATE, "the target could not finish it in time", out)
                    : run(next, best, now, out);
        }
        return next;
    }

    private static AdmissionState run(AdmissionState state, QueuedCall call, Instant now, Outbox out) {
        // Only this target can send it back, and only for a request that it works on: unique is enough.
        String context = Long.toString(call.key().link(), Character.MAX_RADIX) + "-"
                + Long.toString(call.key().stream(), Character.MAX_RADIX) + "-"
                + Long.toUnsignedString(Hashes.of(call.head().requestId() + now.toEpochMilli()), Character.MAX_RADIX);
        RunningCall running = new RunningCall(call, context, now, call.head().retries(), Signal.COHORTS, 0);
        TargetRef target = state.target().ref().orElseThrow();
        out.add(new Effect.RunOffer(call.key(), target, context, Duration.between(now, call.deadline())));
        out.add(new Effect.Measure(Timing.WAITING, Duration.between(call.arrivedAt(), now)));
        String team = call.head().team();
        return state.withRunning(state.running().plus(call.key(), running))
                .withContexts(state.contexts().plus(context, call.key()))
                .withServed(state.served().plus(team, state.served().getOrDefault(team, 0.0) + 1));
    }

    private static AdmissionState remove(AdmissionState state, OfferKey key, RunningCall done) {
        return state.withRunning(state.running().minus(key))
                .withContexts(state.contexts().minus(done.context()));
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

    private static Signal signalFor(AdmissionState state, RunningCall done) {
        int own = thresholdOf(state, done.call().head());
        return new Signal(
                Math.min(own, done.childThreshold()),
                state.load(),
                pressureOf(state, done.call().head()),
                done.retries());
    }

    /** Pressure of the target itself, or of those that it calls for runs of this route, whichever is higher. */
    private static int pressureOf(AdmissionState state, CallHead head) {
        if (!state.mode().ranked()) {
            return 0;
        }
        return Math.max(
                state.pressureController().pressure(),
                state.downstreamPressure().getOrDefault(head.route(), 0));
    }

    /**
     * Takes the pressure behind the calls that the target makes.
     *
     * @param state the state
     * @param below pressure by route of the runs that make the calls
     * @return the new state
     */
    public static AdmissionState downstreamPressureChanged(AdmissionState state, PMap<String, Integer> below) {
        return state.withDownstreamPressure(below);
    }

    private static int thresholdOf(AdmissionState state, CallHead head) {
        return state.mode().shedsBuckets() ? state.thresholds().threshold(trafficClassOf(head)) : Signal.COHORTS;
    }

    private static TrafficClass trafficClassOf(CallHead head) {
        return new TrafficClass(head.importance(), head.team());
    }

    /**
     * Finds the call that a target works on, by the context it was given.
     *
     * @param state the state
     * @param context context id
     * @return the call, while it runs
     */
    public static Optional<RunningCall> findByContext(AdmissionState state, String context) {
        return Optional.ofNullable(state.contexts().get(context))
                .map(key -> state.running().get(key));
    }

    /**
     * Hands part of a running call's retry budget to a call that it makes.
     *
     * @param state the state
     * @param parent the running call
     * @param retries the part handed down
     * @return the new state
     */
    public static AdmissionState lendRetries(AdmissionState state, RunningCall parent, int retries) {
        RunningCall lent = parent.withRetries(parent.retries() - retries).withChildren(parent.children() + 1);
        return state.withRunning(state.running().plus(parent.call().key(), lent));
    }

    /**
     * Takes back the unspent part of a retry budget, and the overload that a child call reported.
     *
     * @param state the state
     * @param context context id of the parent
     * @param retries the unspent part
     * @param keep cohorts that the child can serve
     * @return the new state, unchanged if the parent has ended
     */
    public static AdmissionState childEnded(AdmissionState state, String context, int retries, int keep) {
        return findByContext(state, context)
                .map(parent -> parent.withRetries(parent.retries() + retries)
                        .withChildThreshold(Math.min(parent.childThreshold(), keep)))
                .map(parent ->
                        state.withRunning(state.running().plus(parent.call().key(), parent)))
                .orElse(state);
    }

    /**
     * Stops taking new calls after a grace that lets peers hear of it.
     *
     * @param state the state
     * @param from when new calls are refused
     * @return the new state
     */
    public static AdmissionState drain(AdmissionState state, Instant from) {
        return state.withRefuseFrom(from);
    }

    /**
     * Takes calls for a process life of the target from now on.
     *
     * @param state the state
     * @param target how it is reached
     * @param slots calls that it works on at a time
     * @return the new state
     */
    public static AdmissionState targetAvailable(AdmissionState state, TargetRef target, int slots) {
        boolean same = state.target().ref().filter(target::equals).isPresent();
        return same && state.slots() == slots
                ? state.withTarget(AdmissionTarget.of(target))
                : state.withReplacedTarget(target, slots);
    }

    /**
     * Stops taking calls for the target, which leaves or is gone.
     *
     * @param state the state
     * @param from when new calls are refused
     * @return the new state
     */
    public static AdmissionState targetLeaving(AdmissionState state, Instant from) {
        return state.withTarget(state.target().leaving(from));
    }
}
