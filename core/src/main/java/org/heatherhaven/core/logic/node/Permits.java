package org.heatherhaven.core.logic.node;

import java.time.Duration;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.logic.call.EntryCall;
import org.heatherhaven.core.logic.call.EntryCall.Stage;
import org.heatherhaven.core.logic.once.OnceLogic;
import org.heatherhaven.core.logic.rights.RightsLogic;
import org.heatherhaven.core.message.PermitAnswer;
import org.heatherhaven.core.message.PermitAsk;
import org.heatherhaven.core.message.PermitReport;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.RightId;

/** Asks the ledger before an unrepeatable request with an idempotency key is sent. */
final class Permits {

    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(250);
    private static final Duration REDIRECT_DELAY = Duration.ofMillis(10);

    private Permits() {}

    static void request(EventContext step, EntryCall call) {
        if (waitedTooLong(step, call)) {
            Attempts.refuse(step, call, Refusal.notRun(Reason.NODE_OVERLOADED, "it waited here for too long"));
            return;
        }
        sendRequest(step, call);
    }

    /** Beyond this age a ledger may have forgotten an earlier submission of the key. */
    private static boolean waitedTooLong(EventContext step, EntryCall call) {
        return Duration.between(call.info().arrivedAt(), step.now).compareTo(OnceLogic.LONGEST_WAIT) > 0;
    }

    private static void sendRequest(EventContext step, EntryCall call) {
        RightId slot = slotOf(call);
        Optional<NodeId> holder = RightsLogic.whereIs(step.leases, slot, step.fleet);
        holder.ifPresent(node -> step.out.add(new Effect.Send(
                node,
                new PermitAsk(
                        step.leases.self(),
                        slot,
                        call.info().number(),
                        call.info().permitKey().orElseThrow()))));
        step.entryCalls = step.entryCalls.with(call.withStage(Stage.PERMIT, step.now.plus(REQUEST_INTERVAL)));
    }

    static void requestAgain(EventContext step, EntryCall call) {
        if (waitedTooLong(step, call)) {
            Attempts.refuse(
                    step, call, Refusal.unknown(Reason.LEDGER_UNAVAILABLE, "the ledger's holder can't be reached"));
            return;
        }
        sendRequest(step, call);
    }

    private static RightId slotOf(EntryCall call) {
        return OnceLogic.slotOf(call.info().service(), call.info().permitKey().orElseThrow());
    }

    static void responseReceived(EventContext step, PermitAnswer answer) {
        Optional<EntryCall> waiting = EntryCallHandler.find(step, answer.seq())
                .filter(call -> call.stage() == Stage.PERMIT && slotOf(call).equals(answer.right()));
        if (waiting.isEmpty()) {
            return;
        }
        EntryCall call = waiting.get();
        switch (answer.verdict()) {
            case PERMITTED -> sendPermitted(step, call.withPermit());
            case RAN -> Attempts.refuse(step, call, duplicate(Outcome.RUN, "an earlier submission of this key ran"));
            case MAY_HAVE_RUN ->
                Attempts.refuse(
                        step, call, duplicate(Outcome.UNKNOWN, "an earlier submission of this key may have run"));
            case FORGOTTEN ->
                Attempts.refuse(
                        step,
                        call,
                        Refusal.unknown(
                                Reason.LEDGER_UNAVAILABLE,
                                "the ledger was lost, and an earlier submission may have run"));
            case FULL -> Attempts.refuse(step, call, Refusal.notRun(Reason.LEDGER_FULL, "the ledger is full"));
            case NOT_HELD -> {
                step.leases = RightsLogic.located(step.leases, answer.right(), answer.askInstead());
                step.entryCalls = step.entryCalls.with(call.withStage(Stage.PERMIT, step.now.plus(REDIRECT_DELAY)));
            }
            default -> throw new IllegalArgumentException("verdict " + answer.verdict());
        }
    }

    private static void sendPermitted(EventContext step, EntryCall call) {
        if (waitedTooLong(step, call)) {
            Attempts.refuse(step, call, Refusal.notRun(Reason.NODE_OVERLOADED, "its permit came too late"));
            return;
        }
        Attempts.send(step, call);
    }

    private static Refusal duplicate(Outcome outcome, String detail) {
        return new Refusal(Reason.DUPLICATE, outcome, Duration.ZERO, detail);
    }

    /** Tells the ledger how a permitted request ended. */
    static void reportOutcome(EventContext step, EntryCall call, Outcome outcome) {
        if (!call.permitted()) {
            return;
        }
        RightId slot = slotOf(call);
        RightsLogic.whereIs(step.leases, slot, step.fleet)
                .ifPresent(node -> step.out.add(new Effect.Send(
                        node,
                        new PermitReport(
                                step.leases.self(),
                                slot,
                                call.info().number(),
                                call.info().permitKey().orElseThrow(),
                                outcome))));
    }
}
