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
import org.heatherhaven.core.logic.admission.GuardLogic;
import org.heatherhaven.core.logic.admission.Running;
import org.heatherhaven.core.logic.admission.Waiting;
import org.heatherhaven.core.logic.call.CallInfo;
import org.heatherhaven.core.logic.call.EntryCall;
import org.heatherhaven.core.logic.call.EntryCall.Stage;
import org.heatherhaven.core.logic.callgraph.CallGraphLogic;
import org.heatherhaven.core.logic.pressure.PressureState.Source;
import org.heatherhaven.core.logic.pressure.ShedRule;
import org.heatherhaven.core.logic.quota.Borrowing;
import org.heatherhaven.core.logic.quota.QuotaState.DeniedCall;
import org.heatherhaven.core.logic.routing.RoutingLogic;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Route;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.core.model.Team;

/** Takes a call from its door to its first attempt: who it is for, whether it may come in. */
final class CallFlow {

    private static final String NO_TEAM = "";

    private CallFlow() {}

    static void arrived(Step step, CallArrived event) {
        String requestId = event.request().id().orElseGet(() -> requestId(step, event.call()));
        Optional<Route> route = step.policy
                .policy()
                .routeOf(event.request().host(), event.request().path());
        if (step.thawing) {
            // It may have lain in a buffer while this process was paused, beyond the time in which callers send again.
            refuseUnborn(step, event.call(), requestId, Refusal.notRun(Reason.NODE_OVERLOADED, "this node was paused"));
        } else if (step.policy.policy().version() == 0) {
            refuseUnborn(
                    step,
                    event.call(),
                    requestId,
                    Refusal.notRun(Reason.POLICY_UNKNOWN, "no policy is known here yet"));
        } else if (route.isEmpty()) {
            refuseUnborn(step, event.call(), requestId, Refusal.notRun(Reason.NO_ROUTE, "no route has this path"));
        } else if (step.calls.calls().size() >= step.rules.maxCalls()) {
            refuseUnborn(
                    step, event.call(), requestId, Refusal.notRun(Reason.NODE_OVERLOADED, "too many calls under way"));
        } else if (event.entryPoint() == EntryPoint.TARGET) {
            nested(step, event, requestId, route.get());
        } else {
            root(step, event, requestId, route.get());
        }
    }

    private static String requestId(Step step, long call) {
        String node =
                Long.toUnsignedString(Hashes.of(step.rights.self().toString()) >>> Integer.SIZE, Character.MAX_RADIX);
        return node + "-" + Long.toString(call, Character.MAX_RADIX);
    }

    private static void refuseUnborn(Step step, long call, String requestId, Refusal refusal) {
        step.note(requestId, "door", refusal.detail(), refusal.reason().label());
        Refusal told = Attempts.withReturnTime(step, refusal, 0);
        step.out.add(new Effect.RefuseCall(call, requestId, step.policy.policy().version(), told));
    }

    private static void root(Step step, CallArrived event, String requestId, Route route) {
        Optional<Refusal> unknown = route.open() ? Optional.empty() : checkKey(step, event.request());
        if (unknown.isPresent()) {
            refuseUnborn(step, event.call(), requestId, unknown.get());
            return;
        }
        if (leaving(step)) {
            refuseUnborn(step, event.call(), requestId, Refusal.notRun(Reason.DRAINING, "this node is leaving"));
            return;
        }
        Optional<Team> team = event.request()
                .keyHash()
                .filter(key -> !route.open())
                .flatMap(key -> step.policy.policy().teamOf(key));
        String name = team.map(Team::name).orElse(NO_TEAM);
        Importance teamImportance = team.flatMap(Team::importance).orElse(route.importance());
        if (route.open() && event.request().keyHash().isEmpty()) {
            step.callGraph = CallGraphLogic.called(step.callGraph, route.name());
        }
        CallInfo info = new CallInfo(
                event.call(),
                event.entryPoint(),
                requestId,
                requestId,
                event.request(),
                route,
                route.serviceAt(step.random().nextDouble()),
                name,
                route.importance(),
                teamImportance,
                0,
                step.now,
                step.now.plus(shorter(event.request().timeout().orElse(route.timeout()), route.timeout())),
                step.policy.policy().version(),
                Optional.empty(),
                permitKey(route, name, event.request()));
        EntryCall call = EntryCall.arrived(info, Stage.TOKEN, route.retries());
        step.calls = step.calls.with(call);
        Source source = new Source(route.name(), name, info.importance());
        int keep = step.pressure.keep(source, step.now);
        int cohort = Waiting.cohortOf(info.rootId());
        if (step.rules.admission().sheds() && cohort >= keep) {
            Attempts.refuse(
                    step,
                    call,
                    Refusal.notRun(
                            Reason.SHED_AT_ENTRY,
                            "behind this route there is room for " + keep + " of " + Signal.BUCKETS
                                    + " requests, and this is number " + cohort));
            return;
        }
        if (shutOut(step, call)) {
            return;
        }
        if (team.filter(Team::limited).isEmpty()) {
            proceed(step, call);
            return;
        }
        step.quota =
                Borrowing.arrived(step.quota, event.call(), team.get(), step.borrowing(List.of(team.get())), step.out);
    }

    /** Refuses a root request for which there is no room behind its route; calls of running work are not held up. */
    private static boolean shutOut(Step step, EntryCall call) {
        CallInfo info = call.info();
        if (!step.rules.admission().ranked() || info.route().open()) {
            return false;
        }
        int pressure = step.routePressure.of(info.route().name(), step.now);
        if (pressure == 0) {
            return false;
        }
        int urgency = ShedRule.urgency(info.teamImportance(), info.importance());
        double part = ShedRule.shutOut(pressure, urgency, step.policy.policy().levels());
        double point = Hashes.point(info.rootId());
        if (point >= part) {
            return false;
        }
        Attempts.refuse(
                step,
                call,
                Refusal.notRun(
                                Reason.SHED_AT_ENTRY,
                                "pressure " + pressure + " shuts out " + Math.round(part * 100) + "% of urgency "
                                        + urgency)
                        .retryAfter(ShedRule.returnAfter(part, step.random().nextDouble())));
        return true;
    }

    private static boolean leaving(Step step) {
        return step.drainingSince
                .filter(since ->
                        !step.now.isBefore(since.plus(step.rules.drain().grace())))
                .isPresent();
    }

    private static Optional<Refusal> checkKey(Step step, CallRequest request) {
        if (request.keyHash().isEmpty()) {
            return Optional.of(Refusal.notRun(Reason.KEY_MISSING, "this route needs a key"));
        }
        if (isolated(step)) {
            return Optional.of(Refusal.notRun(
                    Reason.POLICY_STALE,
                    "the platform's word that this policy is the newest is "
                            + Duration.between(step.policy.confirmedAt(), step.now)
                                    .toMillis()
                            + " ms old, so that the key may have been withdrawn"));
        }
        return step.policy.policy().teamOf(request.keyHash().get()).isPresent()
                ? Optional.empty()
                : Optional.of(Refusal.notRun(Reason.KEY_UNKNOWN, "this key is not in force"));
    }

    /** Cut off from every peer and from the platform; a node that never knew another can't miss a withdrawal. */
    static boolean isolated(Step step) {
        Instant limit = step.now.minus(step.rules.keyTrust().limit());
        boolean vouched = step.rules.keyTrust().peersVouch()
                && (step.fleet.members().size() <= 1 || !step.fleet.heardAt().isBefore(limit));
        return !vouched && step.policy.confirmedAt().isBefore(limit);
    }

    private static Optional<String> permitKey(Route route, String team, CallRequest request) {
        return request.idempotencyKey()
                .filter(key -> route.unrepeatable())
                .map(key -> DigestUtils.sha256Hex(route.name() + "\n" + team + "\n" + key));
    }

    private static void nested(Step step, CallArrived event, String requestId, Route route) {
        Optional<String> context = event.request().context();
        Optional<Running> parent = context.flatMap(id -> GuardLogic.byContext(step.guard, id));
        if (parent.isEmpty()) {
            refuseUnborn(
                    step,
                    event.call(),
                    requestId,
                    Refusal.notRun(Reason.CONTEXT_ENDED, "the request it works for has ended"));
            return;
        }
        if (parent.get().children() >= step.rules.maxChildren()) {
            refuseUnborn(
                    step,
                    event.call(),
                    requestId,
                    Refusal.notRun(Reason.TOO_MANY_CALLS, "too many calls for one request"));
            return;
        }
        step.callGraph = CallGraphLogic.called(step.callGraph, route.name());
        Waiting above = parent.get().call();
        int retries = step.rules.retry().handDown(parent.get().retries());
        step.guard = GuardLogic.lendRetries(step.guard, parent.get(), retries);
        Instant own = step.now.plus(shorter(event.request().timeout().orElse(route.timeout()), route.timeout()));
        CallInfo info = new CallInfo(
                event.call(),
                event.entryPoint(),
                requestId,
                above.head().rootId(),
                event.request(),
                route,
                route.serviceAt(step.random().nextDouble()),
                above.head().team(),
                above.head().importance(),
                above.head().teamImportance(),
                above.head().depth() + 1,
                step.now,
                own.isBefore(above.deadline()) ? own : above.deadline(),
                above.head().policyVersion(),
                context,
                permitKey(route, above.head().team(), event.request()));
        EntryCall call = EntryCall.arrived(info, Stage.TOKEN, retries);
        step.calls = step.calls.with(call);
        proceed(step, call);
    }

    private static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }

    /** Goes on after the token: to the ledger if the request must not run twice, else to a target. */
    private static void proceed(Step step, EntryCall call) {
        if (call.info().permitKey().isPresent() && !call.permitted()) {
            Permits.ask(step, call);
        } else {
            Attempts.send(step, call);
        }
    }

    /** Takes the calls that got a token, or waited in vain, out of the quota state. */
    static void afterQuota(Step step) {
        while (!step.quota.ready().isEmpty() || !step.quota.refused().isEmpty()) {
            var ready = step.quota.ready();
            var refused = step.quota.refused();
            step.quota = step.quota.drained();
            for (Long number : ready) {
                find(step, number)
                        .filter(call -> call.info().deadline().isAfter(step.now))
                        .ifPresent(call -> proceed(step, call));
            }
            for (DeniedCall denied : refused) {
                find(step, denied.call()).ifPresent(call -> Attempts.refuse(step, call, refusalOf(step, denied)));
            }
        }
    }

    private static Refusal refusalOf(Step step, DeniedCall denied) {
        if (!denied.denied()) {
            return Refusal.notRun(Reason.QUOTA_UNAVAILABLE, "the holder of the team's rate can't be reached");
        }
        Duration wait = Duration.between(step.now, denied.retryAt());
        return Refusal.notRun(Reason.RATE, "the team's rate and burst are used up")
                .retryAfter(wait.isNegative() ? Duration.ZERO : wait);
    }

    static Optional<EntryCall> find(Step step, long call) {
        return Optional.ofNullable(step.calls.calls().get(call));
    }

    static void gone(Step step, long number) {
        find(step, number).ifPresent(call -> Attempts.abandon(step, call, Reason.CALLER_GONE));
    }

    static void refused(Step step, AttemptRefused event) {
        find(step, event.call())
                .filter(call -> call.attempt() == event.attempt())
                .ifPresent(call -> Attempts.refused(step, call, event));
    }

    static void lost(Step step, AttemptLost event) {
        find(step, event.call())
                .filter(call -> call.attempt() == event.attempt())
                .ifPresent(call -> Attempts.lost(step, call, event));
    }

    static void ended(Step step, AttemptEnded event) {
        find(step, event.call())
                .filter(call -> call.attempt() == event.attempt())
                .ifPresent(call -> Attempts.ended(step, call, event.complete(), event.signal()));
    }

    /** Refuses calls whose deadline has passed, and asks again for permits that did not come. */
    static void tick(Step step) {
        for (EntryCall call : step.calls.calls().values()) {
            if (!step.now.isBefore(call.info().deadline())) {
                expire(step, call);
            } else if (call.stage() == Stage.PERMIT && !step.now.isBefore(call.askAt())) {
                Permits.askAgain(step, call);
            }
        }
    }

    private static void expire(Step step, EntryCall call) {
        switch (call.stage()) {
            case TOKEN -> Attempts.refuse(step, call, Refusal.notRun(Reason.TIMEOUT, "no token came in time"));
            case PERMIT ->
                Attempts.refuse(
                        step, call, Refusal.unknown(Reason.LEDGER_UNAVAILABLE, "the ledger did not answer in time"));
            case ANSWER -> {
                step.out.add(new Effect.CancelAttempt(call.info().call(), call.attempt()));
                call.target().ifPresent(target -> step.routing = RoutingLogic.failed(step.routing, target, step.now));
                Attempts.refuse(step, call, Refusal.unknown(Reason.TIMEOUT, "the deadline passed before the answer"));
            }
            default -> throw new IllegalStateException("stage " + call.stage());
        }
    }

    /** Gives up the calls that a target made for a request that has ended. */
    static void contextEnded(Step step, String context) {
        for (EntryCall call : step.calls.calls().values()) {
            if (call.info().parent().filter(context::equals).isPresent()) {
                Attempts.abandon(step, call, Reason.CONTEXT_ENDED);
            }
        }
    }

    static Outcome outcomeWhenAbandoned(EntryCall call) {
        boolean sent = call.stage() == Stage.ANSWER;
        return sent || call.stage() == Stage.PERMIT ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    }
}
