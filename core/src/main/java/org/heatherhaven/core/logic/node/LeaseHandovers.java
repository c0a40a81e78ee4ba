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
import org.heatherhaven.core.message.LeaseHandover;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.LedgerEntry;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;

/**
 * Hands leases over from a leaving holder to their standby, together with the tokens or ledger entries that belong to
 * them.
 */
final class LeaseHandovers {

    /** Largest number of ledger entries in one message. */
    private static final int PAGE_ENTRIES = 400;

    private LeaseHandovers() {}

    /**
     * Releases every lease that this node may use and sends it to its standby. Called on every tick of a drain, so that
     * it is sent again until the platform shows the standby as its holder. A lease whose object is being updated waits.
     */
    static void sendHeldLeases(EventContext context) {
        for (LeaseId lease : context.leases.held()) {
            LeaseState held = context.leases.find(lease).orElseThrow();
            Optional<NodeId> standby = held.grant().standby().map(Owner::node);
            boolean ready = held.released() || context.leases.usable(lease, context.now);
            if (standby.isEmpty() || !ready || held.updateSent()) {
                continue;
            }
            context.leases = LeasesLogic.release(context.leases, lease);
            for (LeaseHandover page : pages(context, lease, held)) {
                context.out.add(new Effect.Send(standby.get(), page));
            }
            context.leases = LeasesLogic.lookUp(context.leases, lease, context.now, context.out);
        }
    }

    /** Returns the messages that hand a lease over; at least one, also without ledger entries. */
    private static List<LeaseHandover> pages(EventContext context, LeaseId lease, LeaseState held) {
        Remainder remainder = Lending.remainder(context.quota, lease);
        List<LedgerEntry> entries = IdempotencyLogic.entries(context.idempotency, lease, context.now);
        long incompleteMillis = IdempotencyLogic.incompleteFor(context.idempotency, lease, context.now)
                .toMillis();
        List<LeaseHandover> pages = new ArrayList<>();
        int from = 0;
        do {
            int to = Math.min(entries.size(), from + PAGE_ENTRIES);
            pages.add(new LeaseHandover(
                    context.leases.self(),
                    lease,
                    held.grant().generation(),
                    remainder.tokens(),
                    remainder.lent(),
                    incompleteMillis,
                    List.copyOf(entries.subList(from, to)),
                    to == entries.size(),
                    pages.size()));
            from = to;
        } while (from < entries.size());
        return pages;
    }

    /** Returns whether a lease that this node hands over has not been taken over yet. */
    static boolean pending(EventContext context) {
        return context.leases.held().stream().anyMatch(lease -> LeasesLogic.isHandoverPending(context.leases, lease));
    }

    /**
     * Adds a page of a handover, and starts to take the lease over once all pages have arrived. Pages of another
     * generation replace those that arrived before.
     */
    static void received(EventContext context, LeaseHandover page) {
        boolean outdated = context.leases
                .find(page.lease())
                .filter(state -> state.grant().generation() > page.generation())
                .isPresent();
        if (outdated) {
            // A delayed or duplicated page would restore tokens that were spent since, and drop ledger keys that were
            // recorded since.
            return;
        }
        IncomingHandover previous = context.incomingHandovers.get(page.lease());
        boolean sameGeneration = previous != null && previous.generation() == page.generation();
        IncomingHandover next = (sameGeneration ? previous : IncomingHandover.of(page)).withPage(page);
        context.incomingHandovers = context.incomingHandovers.plus(page.lease(), next);
        if (next.complete()) {
            context.leases = LeasesLogic.handleHandover(
                    context.leases, page.lease(), page.holder(), page.generation(), context.now, context.out);
        }
    }

    /**
     * Applies a change of a lease's holder: opens the bucket or ledger that was handed over if this node became holder
     * by the handover, and closes them if it is no longer holder.
     */
    static void applyGrant(EventContext context, LeaseId lease) {
        Optional<LeaseState> leaseState = context.leases.find(lease);
        boolean holder = leaseState
                .filter(state -> state.grant().holder().equals(context.leases.self()))
                .isPresent();
        if (!holder) {
            context.quota = Lending.closeBucket(context.quota, lease);
            context.idempotency = IdempotencyLogic.closeLedger(context.idempotency, lease);
            return;
        }
        IncomingHandover arrived = context.incomingHandovers.get(lease);
        long term = leaseState.get().term().orElseThrow();
        if (arrived == null
                || arrived.generation() + 1 != term
                || leaseState.get().acquisition() != Acquisition.HANDED_OVER) {
            return;
        }
        context.incomingHandovers = context.incomingHandovers.minus(lease);
        context.recordDecision(
                lease.toString(), "hand-over", "generation " + term + " from " + arrived.leavingHolder(), "holder");
        if (lease.kind() == LeaseId.Kind.SHARE) {
            context.quota = Lending.openHandedOver(
                    context.quota, lease, term, arrived.leavingHolder(), arrived.remainder(), context.now);
        } else {
            context.idempotency = IdempotencyLogic.openHandedOver(
                    context.idempotency,
                    lease,
                    term,
                    arrived.leavingHolder(),
                    arrived.entries(),
                    arrived.incompleteFor(),
                    context.now);
        }
    }
}
