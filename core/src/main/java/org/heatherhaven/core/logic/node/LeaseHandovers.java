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
import org.heatherhaven.core.message.HandOver;
import org.heatherhaven.core.model.LedgerEntry;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.RightId;

/** Passes rights on when their holder leaves, with all that belongs to them. */
final class LeaseHandovers {

    private static final int PAGE_ENTRIES = 400;

    private LeaseHandovers() {}

    /** Gives up every right that this node may use, and sends it to its standby, again and again until it is taken. */
    static void sendHeldLeases(EventContext step) {
        for (RightId right : step.leases.held()) {
            RightState held = step.leases.find(right).orElseThrow();
            Optional<NodeId> standby = held.grant().standby().map(Owner::node);
            boolean ready = held.released() || step.leases.usable(right, step.now);
            if (standby.isEmpty() || !ready || held.writing()) {
                continue;
            }
            step.leases = RightsLogic.release(step.leases, right);
            for (HandOver page : pages(step, right, held)) {
                step.out.add(new Effect.Send(standby.get(), page));
            }
            step.leases = RightsLogic.lookUp(step.leases, right, step.now, step.out);
        }
    }

    private static List<HandOver> pages(EventContext step, RightId right, RightState held) {
        Remainder rest = Lending.remainder(step.quota, right);
        List<LedgerEntry> entries = OnceLogic.entries(step.idempotency, right, step.now);
        long blind = OnceLogic.blindFor(step.idempotency, right, step.now).toMillis();
        List<HandOver> pages = new ArrayList<>();
        int from = 0;
        do {
            int to = Math.min(entries.size(), from + PAGE_ENTRIES);
            pages.add(new HandOver(
                    step.leases.self(),
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

    static boolean pending(EventContext step) {
        return step.leases.held().stream().anyMatch(right -> RightsLogic.handingOver(step.leases, right));
    }

    static void received(EventContext step, HandOver page) {
        boolean settled = step.leases
                .find(page.right())
                .filter(known -> known.grant().generation() > page.generation())
                .isPresent();
        if (settled) {
            // A page that comes late or twice would bring back tokens that are spent, and forget keys that ran since.
            return;
        }
        IncomingHandover known = step.incomingHandovers.get(page.right());
        boolean same = known != null && known.generation() == page.generation();
        IncomingHandover next = (same ? known : IncomingHandover.of(page)).withPage(page);
        step.incomingHandovers = step.incomingHandovers.plus(page.right(), next);
        if (next.complete()) {
            step.leases = RightsLogic.handedOver(
                    step.leases, page.right(), page.holder(), page.generation(), step.now, step.out);
        }
    }

    /** Opens what belongs to a right that this node has just become holder of, and closes what it has lost. */
    static void applyGrant(EventContext step, RightId right) {
        Optional<RightState> known = step.leases.find(right);
        boolean mine = known.filter(state -> state.grant().holder().equals(step.leases.self()))
                .isPresent();
        if (!mine) {
            step.quota = Lending.closed(step.quota, right);
            step.idempotency = OnceLogic.closed(step.idempotency, right);
            return;
        }
        IncomingHandover arrived = step.incomingHandovers.get(right);
        long term = known.get().term().orElseThrow();
        if (arrived == null || arrived.generation() + 1 != term || known.get().takenBy() != Acquisition.HANDED_OVER) {
            return;
        }
        step.incomingHandovers = step.incomingHandovers.minus(right);
        step.recordDecision(
                right.toString(), "hand-over", "generation " + term + " from " + arrived.leavingHolder(), "holder");
        if (right.kind() == RightId.Kind.SHARE) {
            step.quota =
                    Lending.inherited(step.quota, right, term, arrived.leavingHolder(), arrived.remainder(), step.now);
        } else {
            step.idempotency = OnceLogic.inherited(
                    step.idempotency,
                    right,
                    term,
                    arrived.leavingHolder(),
                    arrived.entries(),
                    arrived.incompleteFor(),
                    step.now);
        }
    }
}
