package org.heatherhaven.core.logic.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.logic.idempotency.IdempotencyLogic;
import org.heatherhaven.core.logic.leases.Acquisition;
import org.heatherhaven.core.logic.leases.LeaseState;
import org.heatherhaven.core.logic.leases.LeasesLogic;
import org.heatherhaven.core.logic.quota.Lending;
import org.heatherhaven.core.logic.quota.Lending.Remainder;
import org.heatherhaven.core.message.HandOver;
import org.heatherhaven.core.model.LedgerEntry;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.RightId;

/** Passes rights on when their holder leaves, with all that belongs to them. */
final class HandOvers {

    private static final int PAGE_ENTRIES = 400;

    private HandOvers() {}

    /** Gives up every right that this node may use, and sends it to its standby, again and again until it is taken. */
    static void send(Step step) {
        for (RightId right : step.rights.held()) {
            LeaseState held = step.rights.find(right).orElseThrow();
            Optional<NodeId> standby = held.grant().standby().map(Owner::node);
            boolean ready = held.released() || step.rights.usable(right, step.now);
            if (standby.isEmpty() || !ready || held.updateSent()) {
                continue;
            }
            step.rights = LeasesLogic.release(step.rights, right);
            for (HandOver page : pages(step, right, held)) {
                step.out.add(new Effect.Send(standby.get(), page));
            }
            step.rights = LeasesLogic.lookUp(step.rights, right, step.now, step.out);
        }
    }

    private static List<HandOver> pages(Step step, RightId right, LeaseState held) {
        Remainder rest = Lending.remainder(step.quota, right);
        List<LedgerEntry> entries = IdempotencyLogic.entries(step.once, right, step.now);
        long blind = IdempotencyLogic.incompleteFor(step.once, right, step.now).toMillis();
        List<HandOver> pages = new ArrayList<>();
        int from = 0;
        do {
            int to = Math.min(entries.size(), from + PAGE_ENTRIES);
            pages.add(new HandOver(
                    step.rights.self(),
                    right,
                    held.grant().generation(),
                    rest.tokens(),
                    rest.lent(),
                    blind,
                    List.copyOf(entries.subList(from, to)),
                    to == entries.size(),
                    pages.size()));
            from = to;
        } while (from < entries.size());
        return pages;
    }

    static boolean pending(Step step) {
        return step.rights.held().stream().anyMatch(right -> LeasesLogic.isHandoverPending(step.rights, right));
    }

    static void received(Step step, HandOver page) {
        boolean settled = step.rights
                .find(page.right())
                .filter(known -> known.grant().generation() > page.generation())
                .isPresent();
        if (settled) {
            // A page that comes late or twice would bring back tokens that are spent, and forget keys that ran since.
            return;
        }
        Incoming known = step.incoming.get(page.right());
        boolean same = known != null && known.generation() == page.generation();
        Incoming next = (same ? known : Incoming.of(page)).with(page);
        step.incoming = step.incoming.plus(page.right(), next);
        if (next.complete()) {
            step.rights = LeasesLogic.handleHandover(
                    step.rights, page.right(), page.holder(), page.generation(), step.now, step.out);
        }
    }

    /** Opens what belongs to a right that this node has just become holder of, and closes what it has lost. */
    static void settle(Step step, RightId right) {
        Optional<LeaseState> known = step.rights.find(right);
        boolean mine = known.filter(state -> state.grant().holder().equals(step.rights.self()))
                .isPresent();
        if (!mine) {
            step.quota = Lending.closeBucket(step.quota, right);
            step.once = IdempotencyLogic.closeLedger(step.once, right);
            return;
        }
        Incoming arrived = step.incoming.get(right);
        long term = known.get().term().orElseThrow();
        if (arrived == null
                || arrived.generation() + 1 != term
                || known.get().acquisition() != Acquisition.HANDED_OVER) {
            return;
        }
        step.incoming = step.incoming.minus(right);
        step.note(right.toString(), "hand-over", "generation " + term + " from " + arrived.from(), "holder");
        if (right.kind() == RightId.Kind.SHARE) {
            step.quota = Lending.openHandedOver(step.quota, right, term, arrived.from(), arrived.rest(), step.now);
        } else {
            step.once = IdempotencyLogic.openHandedOver(
                    step.once, right, term, arrived.from(), arrived.entries(), arrived.blindFor(), step.now);
        }
    }
}
