package org.heatherhaven.core.logic.node;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.apache.commons.codec.digest.DigestUtils;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.TrafficEvent.AttemptEnded;
import org.heatherhaven.core.event.TrafficEvent.AttemptLost;
import org.heatherhaven.core.event.TrafficEvent.AttemptRefused;
import org.heatherhaven.core.event.TrafficEvent.CallArrived;
import org.heatherhaven.core.event.TrafficEvent.CallRequest;
import org.heatherhaven.core.event.TrafficEvent.EntryPoint;
import org.heatherhaven.core.logic.Hashes;
import org.heatherhaven.core.logic.admission.NestedCalls;
import org.heatherhaven.core.logic.admission.QueuedCall;
import org.heatherhaven.core.logic.admission.RunningCall;
import org.heatherhaven.core.logic.call.CallInfo;
import org.heatherhaven.core.logic.call.EntryCall;
import org.heatherhaven.core.logic.call.EntryCall.Stage;
import org.heatherhaven.core.logic.callgraph.CallGraphLogic;
import org.heatherhaven.core.logic.pressure.RouteThresholds.RouteClass;
import org.heatherhaven.core.logic.pressure.ShedRule;
import org.heatherhaven.core.logic.quota.Borrowing;
import org.heatherhaven.core.logic.quota.QuotaState.RefusedCall;
import org.heatherhaven.core.logic.routing.RoutingLogic;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.MemberStatus;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Route;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.core.model.Team;

/**
 * Handles the calls that enter the fleet at this node, from arrival to the first attempt: route, key, team, admission
 * at entry, token of the team's rate and idempotency permit.
 */
final class EntryCallHandler {

    private static final String NO_TEAM = "";

    private EntryCallHandler() {}

    /**
     * Handles the arrival of a call: rejects it while the node resumes from a pause, has no policy, no matching route
     * or too many calls; otherwise accepts it as a call of the target or of an outside caller.
     */
    static void arrived(EventContext context, CallArrived event) {
        String requestId = event.request().id().orElseGet(() -> requestId(context, event.call()));
        Optional<Route> route = context.policy
                .policy()
                .routeOf(event.request().host(), event.request().path());
        if (context.resumedAfterPause) {
            // The call may have been buffered while this process was paused, for longer than the time within which
            // callers resend a request under the same idempotency key.
            rejectOnArrival(
                    context, event.call(), requestId, Refusal.notRun(Reason.NODE_OVERLOADED, "this node was paused"));
        } else if (context.fleet.self().status() == MemberStatus.LEFT) {
            // The process ends in a moment, and with it every call that is passed on now.
            rejectOnArrival(
                    context, event.call(), requestId, Refusal.notRun(Reason.DRAINING, "this node has left the fleet"));
        } else if (context.policy.policy().version() == 0) {
            rejectOnArrival(
                    context,
                    event.call(),
                    requestId,
                    Refusal.notRun(Reason.POLICY_UNKNOWN, "no policy is known here yet"));
        } else if (route.isEmpty()) {
            rejectOnArrival(
                    context, event.call(), requestId, Refusal.notRun(Reason.NO_ROUTE, "no route has this path"));
        } else if (context.entryCalls.byNumber().size() >= context.rules.maxCalls()) {
            rejectOnArrival(
                    context,
                    event.call(),
                    requestId,
                    Refusal.notRun(Reason.NODE_OVERLOADED, "too many calls under way"));
        } else if (event.entryPoint() == EntryPoint.TARGET) {
            acceptNestedCall(context, event, requestId, route.get());
        } else {
            acceptRootCall(context, event, requestId, route.get());
        }
    }

    /** Returns a request id for a caller that gave none: a hash of this process and the number of the call. */
    private static String requestId(EventContext context, long call) {
        String node = Long.toUnsignedString(
                Hashes.of(context.leases.self().toString()) >>> Integer.SIZE, Character.MAX_RADIX);
        return node + "-" + Long.toString(call, Character.MAX_RADIX);
    }

    /** Refuses a call for which no state has been created yet. */
    private static void rejectOnArrival(EventContext context, long call, String requestId, Refusal refusal) {
        context.recordDecision(
                requestId, "door", refusal.detail(), refusal.reason().label());
        Refusal refusalWithDelay = Attempts.withRetryAfter(context, refusal, 0);
        context.out.add(
                new Effect.RefuseCall(call, requestId, context.policy.policy().version(), refusalWithDelay));
    }

    /**
     * Accepts a call of an outside caller: checks its key, sheds it if needed, and requests a token if its team has a
     * limited rate.
     */
    private static void acceptRootCall(EventContext context, CallArrived event, String requestId, Route route) {
        Optional<Refusal> keyRefusal = route.open() ? Optional.empty() : checkKey(context, event.request());
        if (keyRefusal.isPresent()) {
            rejectOnArrival(context, event.call(), requestId, keyRefusal.get());
            return;
        }
        if (drainGraceOver(context)) {
            rejectOnArrival(context, event.call(), requestId, Refusal.notRun(Reason.DRAINING, "this node is leaving"));
            return;
        }
        Optional<Team> team = event.request()
                .keyHash()
                .filter(key -> !route.open())
                .flatMap(key -> context.policy.policy().teamOf(key));
        String teamName = team.map(Team::name).orElse(NO_TEAM);
        Importance teamImportance = team.flatMap(Team::importance).orElse(route.importance());
        if (route.open() && event.request().keyHash().isEmpty()) {
            context.callGraph = CallGraphLogic.callMade(context.callGraph, route.name());
        }
        CallInfo info = new CallInfo(
                event.call(),
                event.entryPoint(),
                requestId,
                requestId,
                event.request(),
                route,
                context.originService(),
                route.serviceAt(context.random().nextDouble()),
                teamName,
                route.importance(),
                teamImportance,
                0,
                context.now,
                context.now.plus(shorter(event.request().timeout().orElse(route.timeout()), route.timeout())),
                context.policy.policy().version(),
                Optional.empty(),
                permitKey(route, teamName, event.request()));
        EntryCall call = EntryCall.arrived(info, Stage.TOKEN, route.retries());
        context.entryCalls = context.entryCalls.with(call);
        RouteClass routeClass = new RouteClass(route.name(), teamName, info.importance());
        int threshold = context.entryThresholds.threshold(routeClass, context.now);
        int bucket = QueuedCall.bucketOf(info.rootId());
        if (context.rules.admission().shedsBuckets() && bucket >= threshold) {
            Attempts.refuse(
                    context,
                    call,
                    Refusal.notRun(
                            Reason.SHED_AT_ENTRY,
                            "behind this route there is room for " + threshold + " of " + Signal.BUCKETS
                                    + " requests, and this is number " + bucket));
            return;
        }
        if (shedUnderPressure(context, call)) {
            return;
        }
        if (team.filter(Team::limited).isEmpty()) {
            requestPermitOrSend(context, call);
            return;
        }
        context.quota = Borrowing.requestToken(
                context.quota, event.call(), team.get(), context.borrowingContext(List.of(team.get())), context.out);
    }

    /**
     * Refuses a root call if the pressure behind its route sheds it. Calls made by running calls are never shed here,
     * so that work in progress is not held up. Only the mode {@code RANKED} sheds by pressure, and open routes are
     * exempt.
     *
     * @return true if the call was refused
     */
    private static boolean shedUnderPressure(EventContext context, EntryCall call) {
        CallInfo info = call.info();
        if (!context.rules.admission().ranked() || info.route().open()) {
            return false;
        }
        int pressure = context.routePressure.of(info.route().name(), context.now);
        if (pressure == 0) {
            return false;
        }
        int urgency = ShedRule.urgency(info.teamImportance(), info.importance());
        double shedFraction =
                ShedRule.shedFraction(pressure, urgency, context.policy.policy().urgencyLevels());
        double position = Hashes.unitFraction(info.rootId());
        if (position >= shedFraction) {
            return false;
        }
        Attempts.refuse(
                context,
                call,
                Refusal.notRun(
                                Reason.SHED_AT_ENTRY,
                                "pressure " + pressure + " shuts out " + Math.round(shedFraction * 100)
                                        + "% of urgency " + urgency)
                        .retryAfter(ShedRule.retryAfter(
                                shedFraction, context.random().nextDouble())));
        return true;
    }

    /** Returns whether this node is draining and the time has passed during which it still accepts new calls. */
    private static boolean drainGraceOver(EventContext context) {
        return context.drainingSince
                .filter(since ->
                        !context.now.isBefore(since.plus(context.rules.drain().grace())))
                .isPresent();
    }

    /** Returns the refusal of a request without a valid key, empty if the key is valid. */
    private static Optional<Refusal> checkKey(EventContext context, CallRequest request) {
        if (request.keyHash().isEmpty()) {
            return Optional.of(Refusal.notRun(Reason.KEY_MISSING, "this route needs a key"));
        }
        if (isolated(context)) {
            return Optional.of(Refusal.notRun(
                    Reason.POLICY_STALE,
                    "the platform's word that this policy is the newest is "
                            + Duration.between(context.policy.confirmedAt(), context.now)
                                    .toMillis()
                            + " ms old, so that the key may have been withdrawn"));
        }
        return context.policy.policy().teamOf(request.keyHash().get()).isPresent()
                ? Optional.empty()
                : Optional.of(Refusal.notRun(Reason.KEY_UNKNOWN, "this key is not in force"));
    }

    /**
     * Returns whether this node has had no contact with peers nor a confirmation of its policy by the platform for so
     * long that a key may have been withdrawn unnoticed. A node that never had a peer counts as in contact, because it
     * can't miss a withdrawal that peers have received.
     */
    static boolean isolated(EventContext context) {
        Instant limit = context.now.minus(context.rules.keyTrust().maxConfirmationAge());
        boolean inContact = context.rules.keyTrust().peerContactSuffices()
                && (context.fleet.members().size() <= 1
                        || !context.fleet.lastContactAt().isBefore(limit));
        return !inContact && context.policy.confirmedAt().isBefore(limit);
    }

    /**
     * Returns the key under which an unrepeatable request is recorded in the idempotency ledger: a hash of its route,
     * team and idempotency key. Empty for requests that need no permit.
     */
    private static Optional<String> permitKey(Route route, String team, CallRequest request) {
        return request.idempotencyKey()
                .filter(key -> route.unrepeatable())
                .map(key -> DigestUtils.sha256Hex(route.name() + "\n" + team + "\n" + key));
    }

    /**
     * Accepts a call that this node's target makes while it works on another call. It inherits the team, importance and
     * policy version of that call, its deadline as a limit, and part of its retry budget.
     */
    private static void acceptNestedCall(EventContext context, CallArrived event, String requestId, Route route) {
        Optional<String> contextId = event.request().context();
        Optional<RunningCall> parent = contextId.flatMap(id -> NestedCalls.findByContext(context.admission, id));
        if (parent.isEmpty()) {
            rejectOnArrival(
                    context,
                    event.call(),
                    requestId,
                    Refusal.notRun(Reason.CONTEXT_ENDED, "the request it works for has ended"));
            return;
        }
        if (parent.get().children() >= context.rules.maxChildren()) {
            rejectOnArrival(
                    context,
                    event.call(),
                    requestId,
                    Refusal.notRun(Reason.TOO_MANY_CALLS, "too many calls for one request"));
            return;
        }
        context.callGraph = CallGraphLogic.callMade(context.callGraph, route.name());
        QueuedCall parentCall = parent.get().call();
        int retries = context.rules.retry().retriesForChild(parent.get().retries());
        context.admission = NestedCalls.lendRetries(context.admission, parent.get(), retries);
        Instant ownDeadline =
                context.now.plus(shorter(event.request().timeout().orElse(route.timeout()), route.timeout()));
        CallInfo info = new CallInfo(
                event.call(),
                event.entryPoint(),
                requestId,
                parentCall.head().rootId(),
                event.request(),
                route,
                context.originService(),
                route.serviceAt(context.random().nextDouble()),
                parentCall.head().team(),
                parentCall.head().importance(),
                parentCall.head().teamImportance(),
                parentCall.head().depth() + 1,
                context.now,
                ownDeadline.isBefore(parentCall.deadline()) ? ownDeadline : parentCall.deadline(),
                parentCall.head().policyVersion(),
                contextId,
                permitKey(route, parentCall.head().team(), event.request()));
        EntryCall call = EntryCall.arrived(info, Stage.TOKEN, retries);
        context.entryCalls = context.entryCalls.with(call);
        requestPermitOrSend(context, call);
    }

    private static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }

    /**
     * Continues a call that holds its token or needs none: requests a permit if it must not run twice and has an
     * idempotency key, otherwise sends it to a target.
     */
    private static void requestPermitOrSend(EventContext context, EntryCall call) {
        if (call.info().permitKey().isPresent() && !call.permitted()) {
            Permits.request(context, call);
        } else {
            Attempts.send(context, call);
        }
    }

    /**
     * Continues the calls that got a token of their team's rate and refuses those that did not, until none are left.
     */
    static void applyQuotaResults(EventContext context) {
        while (!context.quota.ready().isEmpty() || !context.quota.refused().isEmpty()) {
            var ready = context.quota.ready();
            var refused = context.quota.refused();
            context.quota = context.quota.withoutDecidedCalls();
            for (Long number : ready) {
                find(context, number)
                        .filter(call -> call.info().deadline().isAfter(context.now))
                        .ifPresent(call -> requestPermitOrSend(context, call));
            }
            for (RefusedCall refusedCall : refused) {
                find(context, refusedCall.call())
                        .ifPresent(call -> Attempts.refuse(context, call, refusalOf(context, refusedCall)));
            }
        }
    }

    /** Returns the refusal of a call that got no token. */
    private static Refusal refusalOf(EventContext context, RefusedCall refusedCall) {
        if (!refusedCall.rateExceeded()) {
            return Refusal.notRun(Reason.QUOTA_UNAVAILABLE, "the holder of the team's rate can't be reached");
        }
        Duration wait = Duration.between(context.now, refusedCall.retryAt());
        return Refusal.notRun(Reason.RATE, "the team's rate and burst are used up")
                .retryAfter(wait.isNegative() ? Duration.ZERO : wait);
    }

    /** Returns a call by its number, empty if it has ended. */
    static Optional<EntryCall> find(EventContext context, long call) {
        return Optional.ofNullable(context.entryCalls.byNumber().get(call));
    }

    static void callerGone(EventContext context, long number) {
        find(context, number).ifPresent(call -> Attempts.abandon(context, call, Reason.CALLER_GONE));
    }

    /** Handles the refusal of an attempt; events of earlier attempts are ignored. */
    static void attemptRefused(EventContext context, AttemptRefused event) {
        find(context, event.call())
                .filter(call -> call.attempt() == event.attempt())
                .ifPresent(call -> Attempts.attemptRefused(context, call, event));
    }

    /** Handles an attempt that ended without an answer; events of earlier attempts are ignored. */
    static void attemptLost(EventContext context, AttemptLost event) {
        find(context, event.call())
                .filter(call -> call.attempt() == event.attempt())
                .ifPresent(call -> Attempts.attemptLost(context, call, event));
    }

    /** Handles the end of an answer; events of earlier attempts are ignored. */
    static void attemptEnded(EventContext context, AttemptEnded event) {
        find(context, event.call())
                .filter(call -> call.attempt() == event.attempt())
                .ifPresent(call -> Attempts.attemptEnded(context, call, event.complete(), event.signal()));
    }

    /** Refuses calls whose deadline has passed, and repeats permit requests that are unanswered or were redirected. */
    static void tick(EventContext context) {
        for (EntryCall call : context.entryCalls.byNumber().values()) {
            if (!context.now.isBefore(call.info().deadline())) {
                expire(context, call);
            } else if (call.stage() == Stage.PERMIT && !context.now.isBefore(call.nextPermitRequestAt())) {
                Permits.requestAgain(context, call);
            }
        }
    }

    /**
     * Refuses a call whose deadline has passed. Once a permit was requested or an attempt sent, the outcome is reported
     * as unknown.
     */
    private static void expire(EventContext context, EntryCall call) {
        switch (call.stage()) {
            case TOKEN -> Attempts.refuse(context, call, Refusal.notRun(Reason.TIMEOUT, "no token came in time"));
            case PERMIT ->
                Attempts.refuse(
                        context, call, Refusal.unknown(Reason.LEDGER_UNAVAILABLE, "the ledger did not answer in time"));
            case ANSWER, WITHDRAWN -> {
                context.out.add(new Effect.CancelAttempt(call.info().number(), call.attempt()));
                call.target()
                        .ifPresent(
                                target -> context.routing = RoutingLogic.failed(context.routing, target, context.now));
                Attempts.refuse(
                        context, call, Refusal.unknown(Reason.TIMEOUT, "the deadline passed before the answer"));
            }
            default -> throw new IllegalStateException("stage " + call.stage());
        }
    }

    /**
     * Abandons the calls that the target made for a call that has ended.
     *
     * @param contextId context id of the call that has ended
     */
    static void parentEnded(EventContext context, String contextId) {
        for (EntryCall call : context.entryCalls.byNumber().values()) {
            if (call.info().parentContext().filter(contextId::equals).isPresent()) {
                Attempts.abandon(context, call, Reason.CONTEXT_ENDED);
            }
        }
    }

    /**
     * Returns whether an abandoned call may have run. It can't have while it still waits for a token; while it waits
     * for a permit, an earlier submission of its key may have run, and a sent attempt may be running.
     */
    static Outcome outcomeWhenAbandoned(EntryCall call) {
        boolean sent = call.stage().attemptInProgress();
        return sent || call.stage() == Stage.PERMIT ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    }
}
