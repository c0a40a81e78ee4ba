package org.heatherhaven.core.logic.node;

import java.time.Duration;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.logic.call.EntryCall;
import org.heatherhaven.core.logic.call.EntryCall.Stage;
import org.heatherhaven.core.logic.idempotency.IdempotencyLogic;
import org.heatherhaven.core.logic.leases.LeasesLogic;
import org.heatherhaven.core.message.PermitReport;
import org.heatherhaven.core.message.PermitRequest;
import org.heatherhaven.core.message.PermitResponse;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;

/**
 * Requests a permit from the holder of the idempotency ledger before an unrepeatable request with an idempotency key is
 * sent to a target.
 */
final class Permits {

    /** Time after which an unanswered permit request is repeated. */
    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(250);

    /** Delay before the request is repeated after a node answered that it does not hold the ledger. */
    private static final Duration REDIRECT_DELAY = Duration.ofMillis(10);

    private Permits() {}

    /** Requests the first permit for a call. */
    static void request(EventContext context, EntryCall call) {
        if (waitedTooLong(context, call)) {
            Attempts.refuse(context, call, Refusal.notRun(Reason.NODE_OVERLOADED, "it waited here for too long"));
            return;
        }
        sendRequest(context, call);
    }

    /** Returns whether a call is so old that the ledger may no longer store an earlier submission of its key. */
    private static boolean waitedTooLong(EventContext context, EntryCall call) {
        return Duration.between(call.info().arrivedAt(), context.now).compareTo(IdempotencyLogic.MAX_PERMIT_WAIT) > 0;
    }

    /**
     * Sends a permit request to the node believed to hold the ledger. If none is known, only the time of the next
     * attempt is set.
     */
    private static void sendRequest(EventContext context, EntryCall call) {
        LeaseId slot = slotOf(call);
        Optional<NodeId> holder = LeasesLogic.locate(context.leases, slot, context.fleet);
        holder.ifPresent(node -> context.out.add(new Effect.Send(
                node,
                new PermitRequest(
                        context.leases.self(),
                        slot,
                        call.info().number(),
                        call.info().permitKey().orElseThrow()))));
        context.entryCalls = context.entryCalls.with(call.withStage(Stage.PERMIT, context.now.plus(REQUEST_INTERVAL)));
    }

    /** Repeats a permit request, or refuses the call if it has waited too long. */
    static void requestAgain(EventContext context, EntryCall call) {
        if (waitedTooLong(context, call)) {
            Attempts.refuse(
                    context, call, Refusal.unknown(Reason.LEDGER_UNAVAILABLE, "the ledger's holder can't be reached"));
            return;
        }
        sendRequest(context, call);
    }

    /** Returns the ledger slot that records the idempotency key of a call. */
    private static LeaseId slotOf(EntryCall call) {
        return IdempotencyLogic.slotOf(
                call.info().service(), call.info().permitKey().orElseThrow());
    }

    /**
     * Applies the response of a ledger: sends the call, refuses it, or repeats the request at another node. Responses
     * that no call waits for are ignored.
     */
    static void responseReceived(EventContext context, PermitResponse response) {
        Optional<EntryCall> pending = EntryCallHandler.find(context, response.seq())
                .filter(call -> call.stage() == Stage.PERMIT && slotOf(call).equals(response.ledgerSlot()));
        if (pending.isEmpty()) {
            return;
        }
        EntryCall call = pending.get();
        switch (response.verdict()) {
            case PERMITTED -> sendPermitted(context, call.withPermit());
            case RAN -> Attempts.refuse(context, call, duplicate(Outcome.RUN, "an earlier submission of this key ran"));
            case MAY_HAVE_RUN ->
                Attempts.refuse(
                        context, call, duplicate(Outcome.UNKNOWN, "an earlier submission of this key may have run"));
            case HISTORY_INCOMPLETE ->
                Attempts.refuse(
                        context,
                        call,
                        Refusal.unknown(
                                Reason.LEDGER_UNAVAILABLE,
                                "the ledger was lost, and an earlier submission may have run"));
            case FULL -> Attempts.refuse(context, call, Refusal.notRun(Reason.LEDGER_FULL, "the ledger is full"));
            case NOT_HELD -> {
                context.leases =
                        LeasesLogic.recordLocation(context.leases, response.ledgerSlot(), response.believedHolder());
                context.entryCalls =
                        context.entryCalls.with(call.withStage(Stage.PERMIT, context.now.plus(REDIRECT_DELAY)));
            }
            default -> throw new IllegalArgumentException("verdict " + response.verdict());
        }
    }

    /** Sends a call that has its permit, unless the permit came too late. */
    private static void sendPermitted(EventContext context, EntryCall call) {
        if (waitedTooLong(context, call)) {
            Attempts.refuse(context, call, Refusal.notRun(Reason.NODE_OVERLOADED, "its permit came too late"));
            return;
        }
        Attempts.send(context, call);
    }

    private static Refusal duplicate(Outcome outcome, String detail) {
        return new Refusal(Reason.DUPLICATE, outcome, Duration.ZERO, detail);
    }

    /** Reports to the ledger how a permitted request ended. */
    static void reportOutcome(EventContext context, EntryCall call, Outcome outcome) {
        if (!call.permitted()) {
            return;
        }
        LeaseId slot = slotOf(call);
        LeasesLogic.locate(context.leases, slot, context.fleet)
                .ifPresent(node -> context.out.add(new Effect.Send(
                        node,
                        new PermitReport(
                                context.leases.self(),
                                slot,
                                call.info().number(),
                                call.info().permitKey().orElseThrow(),
                                outcome))));
    }
}
