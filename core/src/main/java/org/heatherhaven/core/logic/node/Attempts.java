package org.heatherhaven.core.logic.node;

import java.time.Duration;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Timing;
import org.heatherhaven.core.event.TrafficEvent.AttemptLost;
import org.heatherhaven.core.event.TrafficEvent.AttemptRefused;
import org.heatherhaven.core.logic.admission.GuardLogic;
import org.heatherhaven.core.logic.call.CallInfo;
import org.heatherhaven.core.logic.call.EntryCall;
import org.heatherhaven.core.logic.pressure.PressureState.Source;
import org.heatherhaven.core.logic.pressure.ReturnTime;
import org.heatherhaven.core.logic.quota.Borrowing;
import org.heatherhaven.core.logic.routing.RoutingLogic;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;

/** Sends a call to targets, one attempt after another, within its retry budget. */
final class Attempts {

    /** Nodes that may turn a call back before it is refused; nothing ran, so that no retry is spent on them. */
    private static final int MAX_TURNED_BACK = 3;

    private Attempts() {}

    static void send(Step step, EntryCall call) {
        CallInfo info = call.info();
        if (!step.now.isBefore(info.deadline())) {
            refuse(step, call, Refusal.notRun(Reason.TIMEOUT, "the deadline passed before it was sent"));
            return;
        }
        Optional<NodeId> target = RoutingLogic.choose(
                step.routing, step.rules.routing(), step.fleet, info.service(), call.tried(), step.random(), step.now);
        if (target.isEmpty()) {
            refuse(step, call, Refusal.notRun(Reason.NO_TARGET, "no target of " + info.service() + " is left"));
            return;
        }
        int lent = step.rules.retry().lendToAttempt(call.retries());
        EntryCall sent = call.sent(target.get(), lent);
        step.calls = step.calls.with(sent);
        step.routing = RoutingLogic.sent(step.routing, target.get(), step.now);
        step.out.add(new Effect.ForwardCall(info.call(), sent.attempt(), target.get(), head(step, sent)));
    }

    private static CallHead head(Step step, EntryCall call) {
        CallInfo info = call.info();
        return new CallHead(
                info.requestId(),
                info.rootId(),
                info.request().host(),
                info.request().method(),
                info.request().path(),
                info.request().headers(),
                step.origin(),
                info.service(),
                info.route().name(),
                info.team(),
                info.importance(),
                info.teamImportance(),
                info.depth(),
                Duration.between(step.now, info.deadline()).toMillis(),
                info.route().limits().aim().toMillis(),
                call.lent(),
                info.unrepeatable(),
                call.kind(),
                info.policyVersion());
    }

    /** The target's node refused: try another target if the budget, the deadline and the outcome allow it. */
    static void refused(Step step, EntryCall call, AttemptRefused event) {
        Refusal refusal = event.refusal();
        Signal signal = event.signal();
        NodeId target = call.target().orElseThrow();
        boolean targetFailed = refusal.reason() == Reason.TARGET_FAILED || refusal.reason() == Reason.TARGET_OVERLOADED;
        step.routing = targetFailed
                ? RoutingLogic.failed(step.routing, target, step.now)
                : RoutingLogic.returned(step.routing, target, signal.load(), step.now);
        EntryCall back = hear(step, call, signal);
        retryOr(step, back, refusal, event.resendable());
    }

    /** An attempt ended without an answer. */
    static void lost(Step step, EntryCall call, AttemptLost event) {
        Outcome outcome = event.outcome();
        step.routing = RoutingLogic.failed(step.routing, call.target().orElseThrow(), step.now);
        EntryCall back = call.cameBack(outcome == Outcome.NOT_RUN ? call.lent() : 0, Signal.BUCKETS);
        Refusal refusal = outcome == Outcome.NOT_RUN
                ? Refusal.notRun(Reason.LINK_LOST, "the node of the target could not be reached")
                : Refusal.unknown(Reason.LINK_LOST, "the connection to the target's node broke");
        retryOr(step, back, refusal, event.resendable());
    }

    private static EntryCall hear(Step step, EntryCall call, Signal signal) {
        CallInfo info = call.info();
        Source source = new Source(info.route().name(), info.team(), info.importance());
        step.pressure = step.pressure.heard(source, signal.admissionThreshold(), step.now);
        step.routePressure = step.routePressure.heard(info.route().name(), signal.pressure(), step.now);
        EntryCall back = call.cameBack(signal.retriesLeft(), signal.admissionThreshold());
        step.calls = step.calls.with(back);
        return back;
    }

    private static void retryOr(Step step, EntryCall ended, Refusal refusal, boolean resendable) {
        EntryCall call = refusal.outcome() == Outcome.NOT_RUN ? ended : ended.uncertain();
        CallInfo info = call.info();
        String service = info.service();
        boolean harmless = refusal.outcome() == Outcome.NOT_RUN || !info.unrepeatable();
        boolean sensible = resendable && harmless && refusal.reason().retryable() && step.now.isBefore(info.deadline());
        boolean reached =
                refusal.outcome() != Outcome.NOT_RUN || refusal.reason().fromTarget();
        boolean budgeted = reached
                ? step.rules.retry().allows(call.attempt(), call.retries())
                : call.tried().size() < MAX_TURNED_BACK
                        && RoutingLogic.hasRoom(step.routing, step.fleet, service, call.tried(), step.now);
        if (!sensible || !budgeted) {
            refuse(step, call, refusal);
            return;
        }
        step.note(
                info.requestId(),
                "retry",
                "attempt " + call.attempt() + " ended with " + refusal.reason().label() + ", " + call.retries()
                        + " retries left",
                "retry");
        step.out.add(new Effect.CountRetry(refusal.reason()));
        if (!reached) {
            send(step, call);
            return;
        }
        send(step, call.paidForRetry());
    }

    /** An answer was passed on, or broke off on the way. */
    static void ended(Step step, EntryCall call, boolean whole, Signal signal) {
        NodeId target = call.target().orElseThrow();
        step.routing = whole
                ? RoutingLogic.succeeded(step.routing, target, signal.load(), step.now)
                : RoutingLogic.failed(step.routing, target, step.now);
        EntryCall back = hear(step, call, signal);
        Permits.report(step, back, whole ? Outcome.RUN : Outcome.UNKNOWN);
        step.note(
                call.info().requestId(),
                "answer",
                call.attempt() + " attempts, "
                        + Duration.between(call.info().arrivedAt(), step.now).toMillis() + " ms, target " + target,
                whole ? "run" : "broken off");
        finish(step, back);
    }

    /** Ends a call with a refusal. */
    static void refuse(Step step, EntryCall call, Refusal last) {
        CallInfo info = call.info();
        // The last attempt may not have run, and an earlier one may: then "not run" would be a lie.
        boolean doubtful = call.mayHaveRun() && last.outcome() == Outcome.NOT_RUN;
        Refusal refusal = doubtful
                ? new Refusal(last.reason(), Outcome.UNKNOWN, last.retryAfter(), last.detail())
                : withReturnTime(step, last, step.routePressure.of(info.route().name(), step.now));
        Permits.report(step, call, refusal.outcome());
        step.note(
                info.requestId(),
                "refuse " + info.route().name(),
                refusal.detail() + "; team " + info.team() + ", " + info.importance() + ", attempt " + call.attempt(),
                refusal.reason().label() + " " + refusal.outcome().label());
        step.out.add(new Effect.RefuseCall(info.call(), info.requestId(), info.policyVersion(), refusal));
        finish(step, call);
    }

    /** Tells callers when to come back, where the refusal has not done so. */
    static Refusal withReturnTime(Step step, Refusal refusal, int pressure) {
        if (refusal.outcome() != Outcome.NOT_RUN || !refusal.retryAfter().isZero()) {
            return refusal;
        }
        Duration delay =
                ReturnTime.after(refusal.reason(), pressure, step.random().nextDouble());
        return refusal.retryAfter(delay);
    }

    /** Ends a call that nobody waits for any more. */
    static void abandon(Step step, EntryCall call, Reason reason) {
        if (call.stage() == EntryCall.Stage.ANSWER) {
            step.out.add(new Effect.CancelAttempt(call.info().call(), call.attempt()));
            call.target().ifPresent(target -> step.routing = RoutingLogic.returned(step.routing, target, 0, step.now));
        }
        step.quota = Borrowing.gone(step.quota, call.info().team(), call.info().call());
        Outcome outcome = CallFlow.outcomeWhenAbandoned(call);
        refuse(step, call, new Refusal(reason, outcome, Duration.ZERO, "nobody waits for the answer"));
    }

    private static void finish(Step step, EntryCall call) {
        step.calls = step.calls.without(call.info().call());
        step.out.add(new Effect.RecordDuration(
                Timing.WHOLE_CALL, Duration.between(call.info().arrivedAt(), step.now)));
        call.info()
                .parent()
                .ifPresent(
                        parent -> step.guard = GuardLogic.childEnded(step.guard, parent, call.retries(), call.keep()));
    }
}
