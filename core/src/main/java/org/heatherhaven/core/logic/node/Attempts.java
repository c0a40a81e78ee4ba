package org.heatherhaven.core.logic.node;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Timing;
import org.heatherhaven.core.event.TrafficEvent.AttemptLost;
import org.heatherhaven.core.event.TrafficEvent.AttemptRefused;
import org.heatherhaven.core.logic.admission.NestedCalls;
import org.heatherhaven.core.logic.call.CallInfo;
import org.heatherhaven.core.logic.call.EntryCall;
import org.heatherhaven.core.logic.pressure.RetryAfterDelay;
import org.heatherhaven.core.logic.pressure.RouteThresholds.RouteClass;
import org.heatherhaven.core.logic.quota.Borrowing;
import org.heatherhaven.core.logic.routing.RoutingLogic;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;

/** Sends the attempts of a call to targets, retries within the call's budget, and ends the call. */
final class Attempts {

    /**
     * Number of nodes tried after which a call that did not reach a target is refused. Such attempts ran nothing, so no
     * retry is charged for them.
     */
    private static final int MAX_NODES_TRIED = 3;

    private Attempts() {}

    /**
     * Sends the next attempt of a call to a target that was not tried yet. Refuses the call if its deadline has passed
     * or no target is left.
     */
    static void send(EventContext context, EntryCall call) {
        CallInfo info = call.info();
        if (!context.now.isBefore(info.deadline())) {
            refuse(context, call, Refusal.notRun(Reason.TIMEOUT, "the deadline passed before it was sent"));
            return;
        }
        Optional<NodeId> target = RoutingLogic.choose(
                context.routing,
                context.rules.routing(),
                context.fleet,
                info.service(),
                call.triedNodes(),
                context.random(),
                context.now);
        if (target.isEmpty()) {
            refuse(context, call, Refusal.notRun(Reason.NO_TARGET, "no target of " + info.service() + " is left"));
            return;
        }
        int retriesLent = context.rules.retry().retriesForAttempt(call.retriesLeft());
        EntryCall sent = call.withNextAttempt(target.get(), retriesLent);
        context.entryCalls = context.entryCalls.with(sent);
        context.routing = RoutingLogic.sent(context.routing, target.get(), context.now);
        context.out.add(new Effect.ForwardCall(info.number(), sent.attempt(), target.get(), head(context, sent)));
    }

    /** Returns the description of a call that is sent to the target's node. */
    private static CallHead head(EventContext context, EntryCall call) {
        CallInfo info = call.info();
        return new CallHead(
                info.requestId(),
                info.rootId(),
                info.request().host(),
                info.request().method(),
                info.request().path(),
                info.request().headers(),
                info.originService(),
                info.service(),
                info.route().name(),
                info.team(),
                info.importance(),
                info.teamImportance(),
                info.depth(),
                Duration.between(context.now, info.deadline()).toMillis(),
                info.route().limits().aim().toMillis(),
                call.retriesLent(),
                info.unrepeatable(),
                call.attemptKind(),
                info.policyVersion());
    }

    /**
     * Handles an attempt that the target's node refused: sends the call to another target if the retry budget, the
     * deadline and the outcome allow it, refuses it otherwise.
     */
    static void attemptRefused(EventContext context, EntryCall call, AttemptRefused event) {
        Refusal refusal = event.refusal();
        Signal signal = event.signal();
        NodeId target = call.target().orElseThrow();
        boolean targetFailed = refusal.reason() == Reason.TARGET_FAILED || refusal.reason() == Reason.TARGET_OVERLOADED;
        context.routing = targetFailed
                ? RoutingLogic.failed(context.routing, target, context.now)
                : RoutingLogic.released(context.routing, target, signal.load(), context.now);
        EntryCall updated = applySignal(context, call, signal);
        retryOrRefuse(context, updated, refusal, event.resendable());
    }

    /**
     * Handles an attempt that ended without an answer. The retries lent to it are recovered only if it certainly did
     * not run; otherwise they may have been spent.
     */
    static void attemptLost(EventContext context, EntryCall call, AttemptLost event) {
        Outcome outcome = event.outcome();
        context.routing = RoutingLogic.failed(context.routing, call.target().orElseThrow(), context.now);
        EntryCall updated = call.withAttemptEnded(outcome == Outcome.NOT_RUN ? call.retriesLent() : 0, Signal.BUCKETS);
        Refusal refusal = outcome == Outcome.NOT_RUN
                ? Refusal.notRun(Reason.LINK_LOST, "the node of the target could not be reached")
                : Refusal.unknown(Reason.LINK_LOST, "the connection to the target's node broke");
        retryOrRefuse(context, updated, refusal, event.resendable());
    }

    /**
     * Applies what the target's node reported: the admission threshold for the call's route, team and importance, the
     * pressure behind its route, and the unspent retries.
     */
    private static EntryCall applySignal(EventContext context, EntryCall call, Signal signal) {
        CallInfo info = call.info();
        RouteClass routeClass = new RouteClass(info.route().name(), info.team(), info.importance());
        context.entryThresholds =
                context.entryThresholds.withReport(routeClass, signal.admissionThreshold(), context.now);
        context.routePressure = context.routePressure.withReport(info.route().name(), signal.pressure(), context.now);
        EntryCall updated = call.withAttemptEnded(signal.retriesLeft(), signal.admissionThreshold());
        context.entryCalls = context.entryCalls.with(updated);
        return updated;
    }

    /**
     * Sends another attempt, or refuses the call.
     *
     * <p>An attempt that reached a target, or may have, is charged to the call's retry budget. One that did not reach a
     * target is repeated at no charge, on a bounded number of nodes and only while an untried target has room.
     *
     * @param resendable true if the body of the request is still available
     */
    private static void retryOrRefuse(EventContext context, EntryCall ended, Refusal refusal, boolean resendable) {
        EntryCall call = refusal.outcome() == Outcome.NOT_RUN ? ended : ended.withPossibleRun();
        if (call.stage() == EntryCall.Stage.WITHDRAWN) {
            refuse(context, call, stopping(refusal.outcome()));
            return;
        }
        CallInfo info = call.info();
        String service = info.service();
        boolean safeToRepeat = refusal.outcome() == Outcome.NOT_RUN || !info.unrepeatable();
        boolean retryable =
                resendable && safeToRepeat && refusal.reason().retryable() && context.now.isBefore(info.deadline());
        boolean reachedTarget =
                refusal.outcome() != Outcome.NOT_RUN || refusal.reason().fromTarget();
        boolean withinBudget = reachedTarget
                ? context.rules.retry().allows(call.attempt(), call.retriesLeft())
                : call.triedNodes().size() < MAX_NODES_TRIED
                        && RoutingLogic.hasRoom(
                                context.routing, context.fleet, service, call.triedNodes(), context.now);
        if (!retryable || !withinBudget) {
            refuse(context, call, refusal);
            return;
        }
        context.recordDecision(
                info.requestId(),
                "retry",
                "attempt " + call.attempt() + " ended with " + refusal.reason().label() + ", " + refusal.detail() + ", "
                        + call.retriesLeft() + " retries left",
                "retry");
        context.out.add(new Effect.CountRetry(refusal.reason()));
        if (!reachedTarget) {
            send(context, call);
            return;
        }
        send(context, call.withRetryCharged());
    }

    /**
     * Ends a call whose answer was passed on to the caller.
     *
     * @param complete false if the answer broke off
     * @param signal load, pressure and unspent retries that the target's node reported
     */
    static void attemptEnded(EventContext context, EntryCall call, boolean complete, Signal signal) {
        NodeId target = call.target().orElseThrow();
        context.routing = complete
                ? RoutingLogic.succeeded(context.routing, target, signal.load(), context.now)
                : RoutingLogic.failed(context.routing, target, context.now);
        EntryCall updated = applySignal(context, call, signal);
        Permits.reportOutcome(context, updated, complete ? Outcome.RUN : Outcome.UNKNOWN);
        context.recordDecision(
                call.info().requestId(),
                "answer",
                call.attempt() + " attempts, "
                        + Duration.between(call.info().arrivedAt(), context.now).toMillis() + " ms, target " + target,
                complete ? "run" : "broken off");
        finish(context, updated);
    }

    /**
     * Ends a call with a refusal.
     *
     * @param lastRefusal refusal of the last attempt, or the reason why none was made
     */
    static void refuse(EventContext context, EntryCall call, Refusal lastRefusal) {
        CallInfo info = call.info();
        // An earlier attempt may have run although the last one did not, so "not run" would be wrong for the call.
        boolean earlierAttemptMayHaveRun = call.mayHaveRun() && lastRefusal.outcome() == Outcome.NOT_RUN;
        Refusal refusal = earlierAttemptMayHaveRun
                ? new Refusal(lastRefusal.reason(), Outcome.UNKNOWN, lastRefusal.retryAfter(), lastRefusal.detail())
                : withRetryAfter(
                        context,
                        lastRefusal,
                        context.routePressure.of(info.route().name(), context.now));
        Permits.reportOutcome(context, call, refusal.outcome());
        context.recordDecision(
                info.requestId(),
                "refuse " + info.route().name(),
                refusal.detail() + "; team " + info.team() + ", " + info.importance() + ", attempt " + call.attempt(),
                refusal.reason().label() + " " + refusal.outcome().label());
        context.out.add(new Effect.RefuseCall(info.number(), info.requestId(), info.policyVersion(), refusal));
        finish(context, call);
    }

    /**
     * Adds a retry-after delay to a refusal without one, if it guarantees that the call did not run.
     *
     * @param pressure pressure behind the call's route, in thousandths; a higher one spreads the retries wider
     */
    static Refusal withRetryAfter(EventContext context, Refusal refusal, int pressure) {
        if (refusal.outcome() != Outcome.NOT_RUN || !refusal.retryAfter().isZero()) {
            return refusal;
        }
        Duration delay =
                RetryAfterDelay.of(refusal.reason(), pressure, context.random().nextDouble());
        return refusal.retryAfter(delay);
    }

    /**
     * Asks for the end of a call because this node stops. A call that has not been sent is refused at once; an attempt is
     * withdrawn, and its end tells whether the call has run.
     */
    static void withdraw(EventContext context, EntryCall call) {
        if (call.stage() == EntryCall.Stage.WITHDRAWN) {
            return;
        }
        if (call.stage() != EntryCall.Stage.ANSWER) {
            refuseStopping(context, call);
            return;
        }
        context.entryCalls = context.entryCalls.with(call.withStage(EntryCall.Stage.WITHDRAWN, Instant.MAX));
        context.out.add(new Effect.WithdrawAttempt(call.info().number(), call.attempt()));
    }

    /** Refuses a call because this node stops, whatever it waits for. */
    static void refuseStopping(EventContext context, EntryCall call) {
        context.quota =
                Borrowing.cancel(context.quota, call.info().team(), call.info().number());
        refuse(context, call, stopping(EntryCallHandler.outcomeWhenAbandoned(call)));
    }

    private static Refusal stopping(Outcome outcome) {
        return new Refusal(Reason.DRAINING, outcome, Duration.ZERO, "this node stops");
    }

    /** Ends a call whose answer is no longer wanted, and cancels its attempt in progress. */
    static void abandon(EventContext context, EntryCall call, Reason reason) {
        if (call.stage().attemptInProgress()) {
            context.out.add(new Effect.CancelAttempt(call.info().number(), call.attempt()));
            call.target()
                    .ifPresent(
                            target -> context.routing = RoutingLogic.released(context.routing, target, 0, context.now));
        }
        context.quota =
                Borrowing.cancel(context.quota, call.info().team(), call.info().number());
        Outcome outcome = EntryCallHandler.outcomeWhenAbandoned(call);
        refuse(context, call, new Refusal(reason, outcome, Duration.ZERO, "nobody waits for the answer"));
    }

    /**
     * Removes a call, records its duration, and returns its unspent retries and admission threshold to the running call
     * that made it.
     */
    private static void finish(EventContext context, EntryCall call) {
        context.entryCalls = context.entryCalls.without(call.info().number());
        context.out.add(new Effect.RecordDuration(
                Timing.WHOLE_CALL, Duration.between(call.info().arrivedAt(), context.now)));
        call.info()
                .parentContext()
                .ifPresent(parentContext -> context.admission = NestedCalls.childEnded(
                        context.admission, parentContext, call.retriesLeft(), call.admissionThreshold()));
    }
}
