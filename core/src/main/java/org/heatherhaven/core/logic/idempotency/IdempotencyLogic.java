package org.heatherhaven.core.logic.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.logic.Hashes;
import org.heatherhaven.core.logic.leases.Acquisition;
import org.heatherhaven.core.logic.leases.LeaseState;
import org.heatherhaven.core.logic.leases.LeasesState;
import org.heatherhaven.core.message.PermitReport;
import org.heatherhaven.core.message.PermitRequest;
import org.heatherhaven.core.message.PermitResponse;
import org.heatherhaven.core.message.PermitResponse.Verdict;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.LedgerEntry;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Owner;

/**
 * Reducer of the idempotency ledgers.
 *
 * <p>A key is permitted once, to one process. That process sends the request, and sends it again only with proof that
 * it did not run. A holder that took over without the entries of its predecessor refuses unknown keys until every key
 * that the predecessor may have permitted is too old to be sent again.
 */
public final class IdempotencyLogic {

    /** Number of slots for the keys of a service; must be equal on every node and in every version. */
    public static final int SLOTS_PER_SERVICE = 8;

    /**
     * Time after its arrival within which a request must be permitted; a node refuses older ones, also after a pause.
     */
    public static final Duration MAX_PERMIT_WAIT = Duration.ofSeconds(3);

    private IdempotencyLogic() {}

    /**
     * Returns the slot that a key belongs to.
     *
     * @param service service that the request is for
     * @param key hash of team and idempotency key
     * @return the slot
     */
    public static LeaseId slotOf(String service, String key) {
        return new LeaseId(LeaseId.Kind.SLOT, service, Hashes.bucket(key, SLOTS_PER_SERVICE));
    }

    /**
     * Decides whether an unrepeatable request may run, and answers the requester.
     *
     * @param state the state
     * @param leases leases of this process
     * @param limits limits of a ledger
     * @param request the permit request
     * @param presumedHolder the presumed holder of the slot, empty if none is known
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static IdempotencyState handlePermitRequest(
            IdempotencyState state,
            LeasesState leases,
            LedgerLimits limits,
            PermitRequest request,
            Optional<NodeId> presumedHolder,
            Instant now,
            Outbox out) {
        if (!leases.usable(request.ledgerSlot(), now)) {
            Optional<NodeId> hint =
                    presumedHolder.filter(node -> !node.equals(leases.self().node()));
            reply(request, Verdict.NOT_HELD, hint, out);
            return state;
        }
        Ledger ledger = ledgerOf(
                        state,
                        request.ledgerSlot(),
                        leases.find(request.ledgerSlot()).orElseThrow(),
                        limits,
                        now)
                .withoutExpired(limits.retention(), now);
        Verdict verdict = decide(ledger, limits, request, now);
        reply(request, verdict, Optional.empty(), out);
        if (verdict != Verdict.PERMITTED) {
            return state.with(request.ledgerSlot(), ledger);
        }
        Ledger.Entry entry = new Ledger.Entry(request.requester(), request.seq(), now, false);
        return state.with(request.ledgerSlot(), ledger.with(request.key(), entry));
    }

    /**
     * Limits of a ledger.
     *
     * @param resubmissionWindow time within which callers may send a request again with the same key
     * @param maxKeys maximum number of keys in one slot
     * @param openedWithPolicy true if ledgers are opened when the policy arrives, false if with the first key
     */
    public record LedgerLimits(Duration resubmissionWindow, int maxKeys, boolean openedWithPolicy) {

        /**
         * Creates limits for ledgers that are opened when the policy arrives.
         *
         * @param resubmissionWindow time within which callers may send a request again with the same key
         * @param maxKeys maximum number of keys in one slot
         */
        public LedgerLimits(Duration resubmissionWindow, int maxKeys) {
            this(resubmissionWindow, maxKeys, true);
        }

        /**
         * Returns how long a key is kept: the resubmission window and the time in which the last submission may still
         * wait for its permit.
         *
         * @return time since the key was permitted
         */
        public Duration retention() {
            return resubmissionWindow.plus(MAX_PERMIT_WAIT);
        }
    }

    private static Verdict decide(Ledger ledger, LedgerLimits limits, PermitRequest request, Instant now) {
        Ledger.Entry known = ledger.entries().get(request.key());
        if (known != null) {
            // A request that arrives twice gets the same response; the requester acts on it once.
            boolean duplicate = known.requester().equals(request.requester()) && known.seq() == request.seq();
            return known.ran() ? Verdict.RAN : duplicate ? Verdict.PERMITTED : Verdict.MAY_HAVE_RUN;
        }
        if (now.isBefore(ledger.incompleteUntil())) {
            return Verdict.HISTORY_INCOMPLETE;
        }
        return ledger.entries().size() >= limits.maxKeys() ? Verdict.FULL : Verdict.PERMITTED;
    }

    private static void reply(PermitRequest request, Verdict verdict, Optional<NodeId> hint, Outbox out) {
        out.add(new Effect.Send(
                request.requester().node(), new PermitResponse(request.ledgerSlot(), request.seq(), verdict, hint)));
    }

    private static Ledger ledgerOf(
            IdempotencyState state, LeaseId slot, LeaseState held, LedgerLimits limits, Instant now) {
        Ledger known = state.ledgers().get(slot);
        long term = held.term().orElseThrow();
        if (known != null && known.term() == term) {
            return known;
        }
        boolean first = held.acquisition() == Acquisition.CREATED;
        return Ledger.open(term, first ? Instant.MIN : held.acquiredAt().plus(limits.retention()));
    }

    /**
     * Handles the report of the outcome of a permitted request.
     *
     * @param state the state
     * @param report the report
     * @return the new state
     */
    public static IdempotencyState handlePermitReport(IdempotencyState state, PermitReport report) {
        Ledger ledger = state.ledgers().get(report.ledgerSlot());
        Ledger.Entry entry = ledger == null ? null : ledger.entries().get(report.key());
        boolean permitted =
                entry != null && entry.requester().equals(report.requester()) && entry.seq() == report.seq();
        if (!permitted || report.outcome() == Outcome.UNKNOWN) {
            return state;
        }
        if (report.outcome() == Outcome.RUN) {
            Ledger.Entry ran = new Ledger.Entry(entry.requester(), entry.seq(), entry.at(), true);
            return state.with(report.ledgerSlot(), ledger.with(report.key(), ran));
        }
        return state.with(report.ledgerSlot(), ledger.without(report.key()));
    }

    /**
     * Returns the entries of a slot that is handed over.
     *
     * @param state the state
     * @param slot the slot
     * @param now current time
     * @return the entries, the oldest first
     */
    public static List<LedgerEntry> entries(IdempotencyState state, LeaseId slot, Instant now) {
        Ledger ledger = state.ledgers().get(slot);
        if (ledger == null) {
            return List.of();
        }
        List<LedgerEntry> entries = new ArrayList<>();
        for (Ledger.PermittedKey key : ledger.permitOrder()) {
            Ledger.Entry entry = ledger.entries().get(key.key());
            if (entry != null) {
                entries.add(new LedgerEntry(key.key(), entry.ran(), Duration.between(key.at(), now)));
            }
        }
        return entries;
    }

    /**
     * Returns how long keys that an earlier holder permitted may still be missing from a slot's ledger.
     *
     * @param state the state
     * @param slot the slot
     * @param now current time
     * @return remaining time, zero if the ledger is complete
     */
    public static Duration incompleteFor(IdempotencyState state, LeaseId slot, Instant now) {
        Ledger ledger = state.ledgers().get(slot);
        if (ledger == null || !now.isBefore(ledger.incompleteUntil())) {
            return Duration.ZERO;
        }
        return Duration.between(now, ledger.incompleteUntil());
    }

    /**
     * Opens a slot's ledger with the entries of its last holder.
     *
     * @param state the state
     * @param slot the slot
     * @param term generation at which this process became holder
     * @param from the previous holder
     * @param entries entries of its ledger
     * @param incompleteFor how long keys may still be missing from that ledger
     * @param now current time
     * @return the new state
     */
    public static IdempotencyState openHandedOver(
            IdempotencyState state,
            LeaseId slot,
            long term,
            Owner from,
            List<LedgerEntry> entries,
            Duration incompleteFor,
            Instant now) {
        Ledger ledger = Ledger.open(term, incompleteFor.isZero() ? Instant.MIN : now.plus(incompleteFor));
        for (LedgerEntry entry : entries) {
            // The number -1 matches no request, so that no report can change the entry.
            ledger = ledger.with(entry.key(), new Ledger.Entry(from, -1, now.minus(entry.age()), entry.ran()));
        }
        return state.with(slot, ledger);
    }

    /**
     * Closes the ledger of a slot that is no longer held.
     *
     * @param state the state
     * @param slot the slot
     * @return the new state
     */
    public static IdempotencyState closeLedger(IdempotencyState state, LeaseId slot) {
        return new IdempotencyState(state.ledgers().minus(slot));
    }

    /**
     * Removes expired entries from all ledgers.
     *
     * @param state the state
     * @param limits limits of a ledger
     * @param now current time
     * @return the new state
     */
    public static IdempotencyState tick(IdempotencyState state, LedgerLimits limits, Instant now) {
        IdempotencyState next = state;
        for (LeaseId slot : state.ledgers().keySet()) {
            Ledger ledger = state.ledgers().get(slot);
            Ledger expired = ledger.withoutExpired(limits.retention(), now);
            if (expired != ledger) {
                next = next.with(slot, expired);
            }
        }
        return next;
    }
}
