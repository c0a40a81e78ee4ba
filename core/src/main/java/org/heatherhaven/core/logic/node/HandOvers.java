package org.heatherhaven.core.logic.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.logic.once.OnceLogic;
import org.heatherhaven.core.logic.quota.Lending;
import org.heatherhaven.core.logic.quota.Lending.Remainder;
import org.heatherhaven.core.logic.rights.Acquisition;
import org.heatherhaven.core.logic.rights.RightState;
import org.heatherhaven.core.logic.rights.RightsLogic;
import org.heatherhaven.core.message.LeaseHandover;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.LedgerEntry;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;

/** Passes rights on when their holder leaves, with all that belongs to them. */
final class HandOvers {

    private static final int PAGE_ENTRIES = 400;

    private HandOvers() {}

    /** Gives up every right that this node may use, and sends it to its standby, again and again until it is taken. */
    static void send(Step step) {
        for (LeaseId right : step.rights.held()) {
            RightState held = step.rights.find(right).orElseThrow();
            Optional<NodeId> standby = held.grant().standby().map(Owner::node);
            boolean ready = held.released() || step.rights.usable(right, step.now);
            if (standby.isEmpty() || !ready || held.writing()) {
                continue;
            }
            step.rights = RightsLogic.release(step.rights, right);
            for (LeaseHandover page : pages(step, right, held)) {
                step.out.add(new Effect.Send(standby.get(), page));
            }
            step.rights = RightsLogic.lookUp(step.rights, right, step.now, step.out);
        }
    }

    private static List<LeaseHandover> pages(Step step, LeaseId right, RightState held) {
        Remainder rest = Lending.remainder(step.quota, right);
        List<LedgerEntry> entries = OnceLogic.entries(step.once, right, step.now);
        long blind = OnceLogic.blindFor(step.once, right, step.now).toMillis();
        List<LeaseHandover> pages = new ArrayList<>();
        int from = 0;
        do {
            int to = Math.min(entries.size(), from + PAGE_ENTRIES);
            pages.add(new LeaseHandover(
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
        return step.rights.held().stream().anyMatch(right -> RightsLogic.handingOver(step.rights, right));
    }

    static void received(Step step, LeaseHandover page) {
        boolean settled = step.rights
                .find(page.lease())
                .filter(known -> known.grant().generation() > page.generation())
                .isPresent();
        if (settled) {
            // A page that comes late or twice would bring back tokens that are spent, and forget keys that ran since.
            return;
        }
        Incoming known = step.incoming.get(page.lease());
        boolean same = known != null && known.generation() == page.generation();
        Incoming next = (same ? known : Incoming.of(page)).with(page);
        step.incoming = step.incoming.plus(page.lease(), next);
        if (next.complete()) {
            step.rights = RightsLogic.handedOver(
                    step.rights, page.lease(), page.holder(), page.generation(), step.now, step.out);
        }
    }

    /** Opens what belongs to a right that this node has just become holder of, and closes what it has lost. */
    static void settle(Step step, LeaseId right) {
        Optional<RightState> known = step.rights.find(right);
        boolean mine = known.filter(state -> state.grant().holder().equals(step.rights.self()))
                .isPresent();
        if (!mine) {
            step.quota = Lending.closed(step.quota, right);
            step.once = OnceLogic.closed(step.once, right);
            return;
        }
        Incoming arrived = step.incoming.get(right);
        long term = known.get().term().orElseThrow();
        if (arrived == null || arrived.generation() + 1 != term || known.get().takenBy() != Acquisition.HANDED_OVER) {
            return;
        }
        step.incoming = step.incoming.minus(right);
        step.note(right.toString(), "hand-over", "generation " + term + " from " + arrived.from(), "holder");
        if (right.kind() == LeaseId.Kind.SHARE) {
            step.quota = Lending.inherited(step.quota, right, term, arrived.from(), arrived.rest(), step.now);
        } else {
            step.once = OnceLogic.inherited(
                    step.once, right, term, arrived.from(), arrived.entries(), arrived.blindFor(), step.now);
        }
    }
}
