package org.heatherhaven.core.logic.once;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.logic.Hashes;
import org.heatherhaven.core.logic.rights.Acquisition;
import org.heatherhaven.core.logic.rights.RightState;
import org.heatherhaven.core.logic.rights.RightsState;
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
 * Reducer of the ledgers.
 *
 * <p>A key is permitted once, to one process, which sends the request and sends it again only with proof that it did
 * not run. A holder that took over blindly refuses until every key that its predecessor may have permitted is too old
 * to be sent again.
 */
public final class OnceLogic {

    /** Number of slots that the keys of a service are divided into; equal on every node and in every version. */
    public static final int SLOTS_PER_SERVICE = 8;

    /** Time after its arrival within which a request must be permitted; a node that was paused refuses older ones. */
    public static final Duration LONGEST_WAIT = Duration.ofSeconds(3);

    private OnceLogic() {}

    /**
     * The slot that keeps a key.
     *
     * @param service service that the request is for
     * @param key hash of team and idempotency key
     * @return the slot
     */
    public static LeaseId slotOf(String service, String key) {
        return new LeaseId(LeaseId.Kind.SLOT, service, Hashes.bucket(key, SLOTS_PER_SERVICE));
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
    public static OnceState asked(
            OnceState state,
            RightsState rights,
            LedgerLimits limits,
            PermitRequest ask,
            Optional<NodeId> elsewhere,
            Instant now,
            Outbox out) {
        if (!rights.usable(ask.ledgerSlot(), now)) {
            Optional<NodeId> hint =
                    elsewhere.filter(node -> !node.equals(rights.self().node()));
            reply(ask, Verdict.NOT_HELD, hint, out);
            return state;
        }
        Ledger ledger = ledgerOf(
                        state, ask.ledgerSlot(), rights.find(ask.ledgerSlot()).orElseThrow(), limits, now)
                .expired(limits.retention(), now);
        Verdict verdict = judge(ledger, limits, ask, now);
        reply(ask, verdict, Optional.empty(), out);
        if (verdict != Verdict.PERMITTED) {
            return state.with(ask.ledgerSlot(), ledger);
        }
        Ledger.Entry entry = new Ledger.Entry(ask.requester(), ask.seq(), now, false);
        return state.with(ask.ledgerSlot(), ledger.with(ask.key(), entry));
    }

    /**
     * Sizes of a ledger.
     *
     * @param memory how long a key is remembered; callers send a request again only within this time
     * @param keys how many keys a slot remembers at most
     * @param prepared true if ledgers are opened with the policy, false if with the first key
     */
    public record LedgerLimits(Duration memory, int keys, boolean prepared) {

        /**
         * Sizes of ledgers that are opened with the policy.
         *
         * @param memory how long a key is remembered
         * @param keys how many keys a slot remembers at most
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
            return memory.plus(LONGEST_WAIT);
        }
    }

    private static Verdict judge(Ledger ledger, LedgerLimits limits, PermitRequest ask, Instant now) {
        Ledger.Entry known = ledger.entries().get(ask.key());
        if (known != null) {
            // A question that arrives twice gets the same answer; the asker acts on it once.
            boolean repeated = known.asker().equals(ask.requester()) && known.seq() == ask.seq();
            return known.ran() ? Verdict.RAN : repeated ? Verdict.PERMITTED : Verdict.MAY_HAVE_RUN;
        }
        if (now.isBefore(ledger.blindUntil())) {
            return Verdict.HISTORY_INCOMPLETE;
        }
        return ledger.entries().size() >= limits.keys() ? Verdict.FULL : Verdict.PERMITTED;
    }

    private static void reply(PermitRequest ask, Verdict verdict, Optional<NodeId> hint, Outbox out) {
        out.add(new Effect.Send(
                ask.requester().node(), new PermitResponse(ask.ledgerSlot(), ask.seq(), verdict, hint)));
    }

    private static Ledger ledgerOf(OnceState state, LeaseId slot, RightState held, LedgerLimits limits, Instant now) {
        Ledger known = state.ledgers().get(slot);
        long term = held.term().orElseThrow();
        if (known != null && known.term() == term) {
            return known;
        }
        boolean first = held.takenBy() == Acquisition.CREATED;
        return Ledger.open(term, first ? Instant.MIN : held.takenAt().plus(limits.retention()));
    }

    /**
     * Takes the report of how a permitted request ended.
     *
     * @param state the state
     * @param report the report
     * @return the new state
     */
    public static OnceState reported(OnceState state, PermitReport report) {
        Ledger ledger = state.ledgers().get(report.ledgerSlot());
        Ledger.Entry entry = ledger == null ? null : ledger.entries().get(report.key());
        boolean owner = entry != null && entry.asker().equals(report.requester()) && entry.seq() == report.seq();
        if (!owner || report.outcome() == Outcome.UNKNOWN) {
            return state;
        }
        if (report.outcome() == Outcome.RUN) {
            Ledger.Entry ran = new Ledger.Entry(entry.asker(), entry.seq(), entry.at(), true);
            return state.with(report.ledgerSlot(), ledger.with(report.key(), ran));
        }
        return state.with(report.ledgerSlot(), ledger.without(report.key()));
    }

    /**
     * All entries of a slot that is handed over.
     *
     * @param state the state
     * @param slot the slot
     * @param now current time
     * @return the entries, the oldest first
     */
    public static List<LedgerEntry> entries(OnceState state, LeaseId slot, Instant now) {
        Ledger ledger = state.ledgers().get(slot);
        if (ledger == null) {
            return List.of();
        }
        List<LedgerEntry> entries = new ArrayList<>();
        for (Ledger.Key key : ledger.order()) {
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
    public static Duration blindFor(OnceState state, LeaseId slot, Instant now) {
        Ledger ledger = state.ledgers().get(slot);
        if (ledger == null || !now.isBefore(ledger.blindUntil())) {
            return Duration.ZERO;
        }
        return Duration.between(now, ledger.blindUntil());
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
    public static OnceState inherited(
            OnceState state,
            LeaseId slot,
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
    public static OnceState closed(OnceState state, LeaseId slot) {
        return new OnceState(state.ledgers().minus(slot));
    }

    /**
     * Lets time pass.
     *
     * @param state the state
     * @param limits sizes of a ledger
     * @param now current time
     * @return the new state
     */
    public static OnceState tick(OnceState state, LedgerLimits limits, Instant now) {
        OnceState next = state;
        for (LeaseId slot : state.ledgers().keySet()) {
            Ledger ledger = state.ledgers().get(slot);
            Ledger expired = ledger.expired(limits.retention(), now);
            if (expired != ledger) {
                next = next.with(slot, expired);
            }
        }
        return next;
    }
}
