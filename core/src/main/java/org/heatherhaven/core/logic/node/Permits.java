package org.heatherhaven.core.logic.node;

import java.time.Duration;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.logic.call.EntryCall;
import org.heatherhaven.core.logic.call.EntryCall.Stage;
import org.heatherhaven.core.logic.once.OnceLogic;
import org.heatherhaven.core.logic.rights.RightsLogic;
import org.heatherhaven.core.message.PermitReport;
import org.heatherhaven.core.message.PermitRequest;
import org.heatherhaven.core.message.PermitResponse;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;

/** Asks the ledger before an unrepeatable request with an idempotency key is sent. */
final class Permits {

    private static final Duration ASK_AGAIN = Duration.ofMillis(250);
    private static final Duration REDIRECT_PAUSE = Duration.ofMillis(10);

    private Permits() {}

    static void ask(Step step, EntryCall call) {
        if (tooOld(step, call)) {
            Attempts.refuse(step, call, Refusal.notRun(Reason.NODE_OVERLOADED, "it waited here for too long"));
            return;
        }
        sendAsk(step, call);
    }

    /** Beyond this age a ledger may have forgotten an earlier submission of the key. */
    private static boolean tooOld(Step step, EntryCall call) {
        return Duration.between(call.info().arrivedAt(), step.now).compareTo(OnceLogic.LONGEST_WAIT) > 0;
    }

    private static void sendAsk(Step step, EntryCall call) {
        LeaseId slot = slotOf(call);
        Optional<NodeId> holder = RightsLogic.whereIs(step.rights, slot, step.fleet);
        holder.ifPresent(node -> step.out.add(new Effect.Send(
                node,
                new PermitRequest(
                        step.rights.self(),
                        slot,
                        call.info().call(),
                        call.info().permitKey().orElseThrow()))));
        step.calls = step.calls.with(call.withStage(Stage.PERMIT, step.now.plus(ASK_AGAIN)));
    }

    static void askAgain(Step step, EntryCall call) {
        if (tooOld(step, call)) {
            Attempts.refuse(
                    step, call, Refusal.unknown(Reason.LEDGER_UNAVAILABLE, "the ledger's holder can't be reached"));
            return;
        }
        sendAsk(step, call);
    }

    private static LeaseId slotOf(EntryCall call) {
        return OnceLogic.slotOf(call.info().service(), call.info().permitKey().orElseThrow());
    }

    static void answered(Step step, PermitResponse answer) {
        Optional<EntryCall> waiting = CallFlow.find(step, answer.seq())
                .filter(call -> call.stage() == Stage.PERMIT && slotOf(call).equals(answer.ledgerSlot()));
        if (waiting.isEmpty()) {
            return;
        }
        EntryCall call = waiting.get();
        switch (answer.verdict()) {
            case PERMITTED -> permitted(step, call.withPermit());
            case RAN -> Attempts.refuse(step, call, duplicate(Outcome.RUN, "an earlier submission of this key ran"));
            case MAY_HAVE_RUN ->
                Attempts.refuse(
                        step, call, duplicate(Outcome.UNKNOWN, "an earlier submission of this key may have run"));
            case HISTORY_INCOMPLETE ->
                Attempts.refuse(
                        step,
                        call,
                        Refusal.unknown(
                                Reason.LEDGER_UNAVAILABLE,
                                "the ledger was lost, and an earlier submission may have run"));
            case FULL -> Attempts.refuse(step, call, Refusal.notRun(Reason.LEDGER_FULL, "the ledger is full"));
            case NOT_HELD -> {
                step.rights = RightsLogic.located(step.rights, answer.ledgerSlot(), answer.believedHolder());
                step.calls = step.calls.with(call.withStage(Stage.PERMIT, step.now.plus(REDIRECT_PAUSE)));
            }
            default -> throw new IllegalArgumentException("verdict " + answer.verdict());
        }
    }

    private static void permitted(Step step, EntryCall call) {
        if (tooOld(step, call)) {
            Attempts.refuse(step, call, Refusal.notRun(Reason.NODE_OVERLOADED, "its permit came too late"));
            return;
        }
        Attempts.send(step, call);
    }

    private static Refusal duplicate(Outcome outcome, String detail) {
        return new Refusal(Reason.DUPLICATE, outcome, Duration.ZERO, detail);
    }

    /** Tells the ledger how a permitted request ended. */
    static void report(Step step, EntryCall call, Outcome outcome) {
        if (!call.permitted()) {
            return;
        }
        LeaseId slot = slotOf(call);
        RightsLogic.whereIs(step.rights, slot, step.fleet)
                .ifPresent(node -> step.out.add(new Effect.Send(
                        node,
                        new PermitReport(
                                step.rights.self(),
                                slot,
                                call.info().call(),
                                call.info().permitKey().orElseThrow(),
                                outcome))));
    }
}
