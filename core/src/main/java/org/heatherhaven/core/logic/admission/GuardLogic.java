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
import org.heatherhaven.core.logic.admission.Demand.ClassKey;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.core.model.TargetRef;
import org.pcollections.PMap;

/** Reducer of the calls at this node's target. */
public final class GuardLogic {

    /** Length of a measuring window. */
    static final Duration WINDOW = Duration.ofMillis(100);

    /** How long calls that wait for a target that leaves may still be handed to it. */
    private static final Duration QUEUE_GRACE = Duration.ofMillis(700);

    private static final double SMOOTHING = 0.1;
    private static final double CAPACITY_SMOOTHING = 0.3;
    private static final double SERVED_FADE = 0.9;
    private static final double SERVED_FLOOR = 0.01;
    private static final double BACK_OFF = 0.9;
    private static final double LIMIT_STEP = 0.5;
    private static final double FAILURE_PART = 0.1;

    private GuardLogic() {}

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
    public static GuardState offered(GuardState state, OfferKey key, CallHead head, Instant now, Outbox out) {
        Waiting call = new Waiting(
                key, head, Waiting.cohortOf(head.rootId()), now, now.plusMillis(Math.max(0, head.remainingMillis())));
        ClassKey classKey = classOf(head);
        GuardState next = state.withDemand(state.demand().arrived(classKey))
                .withGauge(head.attemptKind().first() ? state.gauge().arrived() : state.gauge());
        if (!now.isBefore(state.refuseFrom())) {
            return refuse(next, call, Reason.DRAINING, "the node of the target is leaving", out);
        }
        if (!state.target().takesCalls(now)) {
            return refuse(next, call, Reason.NO_TARGET, "there is no target here that takes calls", out);
        }
        if (!state.mode().limited()) {
            return run(next, call, now, out);
        }
        if (state.running().size() < (int) state.limit() && state.queue().isEmpty()) {
            return run(next, call, now, out);
        }
        next = next.withDemand(next.demand().full());
        if (next.mode().sheds()
                && !call.nested()
                && call.cohort() >= next.keeps().keep(classKey)) {
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

    private static GuardState enqueueByEviction(GuardState state, Waiting call, Outbox out) {
        if (!state.mode().ordered()) {
            return refuse(state, call, Reason.QUEUE_FULL, "the queue of the target is full", out);
        }
        Comparator<Waiting> order = QueueRules.order(state);
        Waiting worst = state.queue().stream().max(order).orElse(call);
        if (order.compare(call, worst) >= 0) {
            return refuse(state, call, Reason.QUEUE_FULL, "the queue holds more important work", out);
        }
        GuardState next = refuse(state, worst, Reason.QUEUE_FULL, "more important work came", out);
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
    public static GuardState ended(GuardState state, OfferKey key, TargetResult result, Instant now, Outbox out) {
        Running done = state.running().get(key);
        if (done == null) {
            return state;
        }
        out.add(new Effect.RecordDuration(Timing.TARGET, Duration.between(done.startedAt(), now)));
        GuardState next = learn(remove(state, key, done), done, result, now);
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

    private static GuardState learn(GuardState state, Running done, TargetResult result, Instant now) {
        boolean well = result == TargetResult.ANSWERED;
        GuardState next = state.withDemand(
                well ? state.demand().completed() : state.demand().failed());
        if (!well) {
            return next;
        }
        Duration took = Duration.between(done.startedAt(), now);
        Duration old = state.serviceTime();
        Duration smoothed = old.isZero()
                ? took
                : old.plusNanos((long) (SMOOTHING * took.minus(old).toNanos()));
        GuardState learnt = next.withServiceTime(smoothed);
        return state.target().reported()
                ? learnt
                : learnt.withLimit(Math.min(state.slots(), state.limit() + LIMIT_STEP));
    }

    /**
     * Takes the caller's word that an answer is no longer wanted.
     *
     * @param state the state
     * @param key names the offer
     * @param out takes the effects
     * @return the new state
     */
    public static GuardState cancelled(GuardState state, OfferKey key, Outbox out) {
        if (state.running().containsKey(key)) {
            out.add(new Effect.AbortRun(key));
            return state;
        }
        Optional<Waiting> waiting =
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
    public static GuardState linkClosed(GuardState state, long link, Outbox out) {
        state.running().keySet().stream()
                .filter(key -> key.link() == link)
                .forEach(key -> out.add(new Effect.AbortRun(key)));
        GuardState next = state;
        for (Waiting call : state.queue()) {
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
    public static GuardState tick(GuardState state, Instant now, Outbox out) {
        GuardState next = state;
        for (Waiting call : state.queue()) {
            if (!now.isBefore(call.deadline())) {
                next = refuse(
                        next.withQueue(next.queue().minus(call)), call, Reason.TOO_LATE, "its deadline passed", out);
            }
        }
        if (next.target().gone(now.minus(QUEUE_GRACE))) {
            for (Waiting call : next.queue()) {
                next = refuse(
                        next.withQueue(next.queue().minus(call)), call, Reason.NO_TARGET, "the target has left", out);
            }
        }
        if (!now.isBefore(next.windowEndsAt())) {
            next = closeWindow(next, now);
        }
        return dispatch(next, now, out);
    }

    private static GuardState closeWindow(GuardState state, Instant now) {
        Demand demand = state.demand();
        GuardState next = state;
        int finished = demand.completions() + demand.failures();
        if (!state.target().reported() && demand.failures() > Math.max(1, finished * FAILURE_PART)) {
            next = next.withLimit(Math.max(QueueRules.LIMIT_MIN, next.limit() * BACK_OFF));
        }
        next = next.withServed(fade(next))
                .withGauge(next.gauge().closed(WINDOW, next.limit(), next.serviceTime(), demand.saturated()));
        if (!demand.saturated() || !next.mode().sheds()) {
            return next.withWindow(next.capacity(), next.keeps().relaxed(), now.plus(WINDOW));
        }
        double capacity = next.capacity() == 0
                ? demand.completions()
                : next.capacity() + CAPACITY_SMOOTHING * (demand.completions() - next.capacity());
        double room = capacity
                + Math.max(0, QueueRules.capacity(next) / 2.0 - next.queue().size()) / 2;
        KeepTable keeps = next.keeps().divided(demand.arrivals(), room);
        return next.withWindow(capacity, keeps, now.plus(WINDOW));
    }

    private static PMap<String, Double> fade(GuardState state) {
        PMap<String, Double> served = state.served();
        for (Map.Entry<String, Double> entry : state.served().entrySet()) {
            double left = entry.getValue() * SERVED_FADE;
            served = left < SERVED_FLOOR ? served.minus(entry.getKey()) : served.plus(entry.getKey(), left);
        }
        return served;
    }

    private static GuardState dispatch(GuardState state, Instant now, Outbox out) {
        GuardState next = state;
        while (!next.queue().isEmpty()
                && next.target().ref().isPresent()
                && next.running().size() < (int) Math.max(QueueRules.LIMIT_MIN, next.limit())) {
            Waiting best = next.mode().ordered()
                    ? next.queue().stream().min(QueueRules.order(next)).orElseThrow()
                    : next.queue().get(0);
            next = next.withQueue(next.queue().minus(best));
            next = QueueRules.hopeless(next, best, now)
                    ? refuse(next, best, Reason.TOO_LATE, "the target could not finish it in time", out)
                    : run(next, best, now, out);
        }
        return next;
    }

    private static GuardState run(GuardState state, Waiting call, Instant now, Outbox out) {
        // Only this target can send it back, and only for a request that it works on: unique is enough.
        String context = Long.toString(call.key().link(), Character.MAX_RADIX) + "-"
                + Long.toString(call.key().stream(), Character.MAX_RADIX) + "-"
                + Long.toUnsignedString(Hashes.of(call.head().requestId() + now.toEpochMilli()), Character.MAX_RADIX);
        Running running = new Running(call, context, now, call.head().retries(), Signal.BUCKETS, 0);
        TargetRef target = state.target().ref().orElseThrow();
        out.add(new Effect.RunOffer(call.key(), target, context, Duration.between(now, call.deadline())));
        out.add(new Effect.RecordDuration(Timing.QUEUE_WAIT, Duration.between(call.arrivedAt(), now)));
        String team = call.head().team();
        return state.withRunning(state.running().plus(call.key(), running))
                .withContexts(state.contexts().plus(context, call.key()))
                .withServed(state.served().plus(team, state.served().getOrDefault(team, 0.0) + 1));
    }

    private static GuardState remove(GuardState state, OfferKey key, Running done) {
        return state.withRunning(state.running().minus(key))
                .withContexts(state.contexts().minus(done.context()));
    }

    private static GuardState refuse(GuardState state, Waiting call, Reason reason, String detail, Outbox out) {
        Signal signal = new Signal(
                keepOf(state, call.head()),
                state.load(),
                pressureOf(state, call.head()),
                call.head().retries());
        out.add(new Effect.RefuseOffer(call.key(), Refusal.notRun(reason, detail), signal));
        return state;
    }

    private static Signal signalFor(GuardState state, Running done) {
        int own = keepOf(state, done.call().head());
        return new Signal(
                Math.min(own, done.keep()),
                state.load(),
                pressureOf(state, done.call().head()),
                done.retries());
    }

    /** Pressure of the target itself, or of those that it calls for runs of this route, whichever is higher. */
    private static int pressureOf(GuardState state, CallHead head) {
        if (!state.mode().ranked()) {
            return 0;
        }
        return Math.max(state.gauge().pressure(), state.below().getOrDefault(head.route(), 0));
    }

    /**
     * Takes the pressure behind the calls that the target makes.
     *
     * @param state the state
     * @param below pressure by route of the runs that make the calls
     * @return the new state
     */
    public static GuardState pressedBelow(GuardState state, PMap<String, Integer> below) {
        return state.withBelow(below);
    }

    private static int keepOf(GuardState state, CallHead head) {
        return state.mode().sheds() ? state.keeps().keep(classOf(head)) : Signal.BUCKETS;
    }

    private static ClassKey classOf(CallHead head) {
        return new ClassKey(head.importance(), head.team());
    }

    /**
     * Finds the call that a target works on, by the context it was given.
     *
     * @param state the state
     * @param context context id
     * @return the call, while it runs
     */
    public static Optional<Running> byContext(GuardState state, String context) {
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
    public static GuardState lendRetries(GuardState state, Running parent, int retries) {
        Running lent = parent.withRetries(parent.retries() - retries).withChildren(parent.children() + 1);
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
    public static GuardState childEnded(GuardState state, String context, int retries, int keep) {
        return byContext(state, context)
                .map(parent -> parent.withRetries(parent.retries() + retries).withKeep(Math.min(parent.keep(), keep)))
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
    public static GuardState drain(GuardState state, Instant from) {
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
    public static GuardState targetIs(GuardState state, TargetRef target, int slots) {
        boolean same = state.target().ref().filter(target::equals).isPresent();
        return same && state.slots() == slots
                ? state.withTarget(GuardedTarget.of(target))
                : state.replaced(target, slots);
    }

    /**
     * Stops taking calls for the target, which leaves or is gone.
     *
     * @param state the state
     * @param from when new calls are refused
     * @return the new state
     */
    public static GuardState targetLeaves(GuardState state, Instant from) {
        return state.withTarget(state.target().leaving(from));
    }
}
