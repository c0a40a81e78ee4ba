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
import org.heatherhaven.core.message.PermitAnswer;
import org.heatherhaven.core.message.PermitAnswer.Verdict;
import org.heatherhaven.core.message.PermitAsk;
import org.heatherhaven.core.message.PermitReport;
import org.heatherhaven.core.model.LedgerEntry;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.RightId;

/**
 * Reducer of the ledgers.
 *
 * <p>A key is permitted once, to one process, which sends the request and sends it again only with proof that it did
 * not run. A holder that took over blindly refuses until every key that its predecessor may have permitted is too old
 * to be sent again.
 */
public final class IdempotencyLogic {

    /** Number of slots that the keys of a service are divided into; equal on every node and in every version. */
    public static final int SLOTS_PER_SERVICE = 8;

    /** Time after its arrival within which a request must be permitted; a node that was paused refuses older ones. */
    public static final Duration MAX_PERMIT_WAIT = Duration.ofSeconds(3);

    private IdempotencyLogic() {}

    /**
     * The slot that keeps a key.
     *
     * @param service service that the request is for
     * @param key hash of team and idempotency key
     * @return the slot
     */
    public static RightId slotOf(String service, String key) {
        return new RightId(RightId.Kind.SLOT, service, Hashes.bucket(key, SLOTS_PER_SERVICE));
    }

    /**
     * Answers whether an unrepeatable request may run.
     *
     * @param state the state
     * @param rights rights of this process
     * @param limits sizes of a ledger
     * @param ask the question
     * @param elsewhere the node that is believed to hold the slot, if it is not this one
     * @param now current time
     * @param out takes the effects
     * @return the new state
     */
    public static IdempotencyState handlePermitRequest(
            IdempotencyState state,
            LeasesState rights,
            LedgerLimits limits,
            PermitAsk ask,
            Optional<NodeId> elsewhere,
            Instant now,
            Outbox out) {
        if (!rights.usable(ask.right(), now)) {
            Optional<NodeId> hint =
                    elsewhere.filter(node -> !node.equals(rights.self().node()));
            reply(ask, Verdict.NOT_HELD, hint, out);
            return state;
        }
        Ledger ledger = ledgerOf(state, ask.right(), rights.find(ask.right()).orElseThrow(), limits, now)
                .withoutExpired(limits.retention(), now);
        Verdict verdict = decide(ledger, limits, ask, now);
        reply(ask, verdict, Optional.empty(), out);
        if (verdict != Verdict.PERMITTED) {
            return state.with(ask.right(), ledger);
        }
        Ledger.Entry entry = new Ledger.Entry(ask.asker(), ask.seq(), now, false);
        return state.with(ask.right(), ledger.with(ask.key(), entry));
    }

    /**
     * Sizes of a ledger.
     *
     * @param resubmissionWindow how long a key is remembered; callers send a request again only within this time
     * @param maxKeys how many keys a slot remembers at most
     * @param openedWithPolicy true if ledgers are opened with the policy, false if with the first key
     */
    public record LedgerLimits(Duration resubmissionWindow, int maxKeys, boolean openedWithPolicy) {

        /**
         * Sizes of ledgers that are opened with the policy.
         *
         * @param resubmissionWindow how long a key is remembered
         * @param maxKeys how many keys a slot remembers at most
         */
        public LedgerLimits(Duration memory, int keys) {
            this(memory, keys, true);
        }

        /**
         * How long a key is kept: the last submission that a caller may send can still wait for its permit.
         *
         * @return time since the key was permitted
         */
        public Duration retention() {
            return resubmissionWindow.plus(MAX_PERMIT_WAIT);
        }
    }

    private static Verdict decide(Ledger ledger, LedgerLimits limits, PermitAsk ask, Instant now) {
        Ledger.Entry known = ledger.entries().get(ask.key());
        if (known != null) {
            // A question that arrives twice gets the same answer; the asker acts on it once.
            boolean repeated = known.requester().equals(ask.asker()) && known.seq() == ask.seq();
            return known.ran() ? Verdict.RAN : repeated ? Verdict.PERMITTED : Verdict.MAY_HAVE_RUN;
        }
        if (now.isBefore(ledger.incompleteUntil())) {
            return Verdict.FORGOTTEN;
        }
        return ledger.entries().size() >= limits.maxKeys() ? Verdict.FULL : Verdict.PERMITTED;
    }

    private static void reply(PermitAsk ask, Verdict verdict, Optional<NodeId> hint, Outbox out) {
        out.add(new Effect.Send(ask.asker().node(), new PermitAnswer(ask.right(), ask.seq(), verdict, hint)));
    }

    private static Ledger ledgerOf(
            IdempotencyState state, RightId slot, LeaseState held, LedgerLimits limits, Instant now) {
        Ledger known = state.ledgers().get(slot);
        long term = held.term().orElseThrow();
        if (known != null && known.term() == term) {
            return known;
        }
        boolean first = held.acquisition() == Acquisition.CREATED;
        return Ledger.open(term, first ? Instant.MIN : held.acquiredAt().plus(limits.retention()));
    }

    /**
     * Takes the report of how a permitted request ended.
     *
     * @param state the state
     * @param report the report
     * @return the new state
     */
    public static IdempotencyState handlePermitReport(IdempotencyState state, PermitReport report) {
        Ledger ledger = state.ledgers().get(report.right());
        Ledger.Entry entry = ledger == null ? null : ledger.entries().get(report.key());
        boolean owner = entry != null && entry.requester().equals(report.asker()) && entry.seq() == report.seq();
        if (!owner || report.outcome() == Outcome.UNKNOWN) {
            return state;
        }
        if (report.outcome() == Outcome.RUN) {
            Ledger.Entry ran = new Ledger.Entry(entry.requester(), entry.seq(), entry.at(), true);
            return state.with(report.right(), ledger.with(report.key(), ran));
        }
        return state.with(report.right(), ledger.without(report.key()));
    }

    /**
     * All entries of a slot that is handed over.
     *
     * @param state the state
     * @param slot the slot
     * @param now current time
     * @return the entries, the oldest first
     */
    public static List<LedgerEntry> entries(IdempotencyState state, RightId slot, Instant now) {
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
     * How long a slot's ledger is still blind.
     *
     * @param state the state
     * @param slot the slot
     * @param now current time
     * @return time left, zero if it knows all keys
     */
    public static Duration incompleteFor(IdempotencyState state, RightId slot, Instant now) {
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
     * @param from the holder before
     * @param entries its entries
     * @param blindFor how long that holder was still blind itself
     * @param now current time
     * @return the new state
     */
    public static IdempotencyState openHandedOver(
            IdempotencyState state,
            RightId slot,
            long term,
            Owner from,
            List<LedgerEntry> entries,
            Duration blindFor,
            Instant now) {
        Ledger ledger = Ledger.open(term, blindFor.isZero() ? Instant.MIN : now.plus(blindFor));
        for (LedgerEntry entry : entries) {
            // The number matches no question: only reports of the entry's own permit could release it.
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
    public static IdempotencyState closeLedger(IdempotencyState state, RightId slot) {
        return new IdempotencyState(state.ledgers().minus(slot));
    }

    /**
     * Lets time pass.
     *
     * @param state the state
     * @param limits sizes of a ledger
     * @param now current time
     * @return the new state
     */
    public static IdempotencyState tick(IdempotencyState state, LedgerLimits limits, Instant now) {
        IdempotencyState next = state;
        for (RightId slot : state.ledgers().keySet()) {
            Ledger ledger = state.ledgers().get(slot);
            Ledger expired = ledger.withoutExpired(limits.retention(), now);
            if (expired != ledger) {
                next = next.with(slot, expired);
            }
        }
        return next;
    }
}
