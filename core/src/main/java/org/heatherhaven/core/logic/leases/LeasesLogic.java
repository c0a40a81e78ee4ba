package org.heatherhaven.core.logic.leases;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.event.PlatformEvent.GrantSeen;
import org.heatherhaven.core.logic.membership.MembershipState;
import org.heatherhaven.core.message.LeaseRenewalGrant;
import org.heatherhaven.core.message.LeaseRenewalRequest;
import org.heatherhaven.core.model.Grant;
import org.heatherhaven.core.model.LeaseClaim;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.MemberStatus;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.pcollections.PMap;

/**
 * Reducer of the exclusive leases.
 *
 * <p>The holder uses a lease only while its standby has renewed it; a renewal obliges the standby not to take over. The
 * holder counts the lease duration from the sending of its request, the standby from its response, lengthened by a
 * margin for clock drift. A standby that receives no more requests takes over by a conditional update of the platform
 * object, once its last renewal and the longest loan have ended on every clock. A process that has sent an update at a
 * generation neither accepts nor grants renewals at that generation any more, because the update may take effect long
 * after the sender has stopped waiting for its result.
 */
public final class LeasesLogic {

    /** Duration of a renewal on the holder, counted from its request. */
    public static final Duration LEASE_DURATION = Duration.ofSeconds(3);

    /** Maximum duration of anything that a holder lends. */
    public static final Duration MAX_LOAN_DURATION = Duration.ofSeconds(1);

    /** Time between two renewal requests while all leases are usable. */
    static final Duration RENEWAL_INTERVAL = Duration.ofMillis(750);

    /** Time without a renewal after which a holder replaces its standby. */
    static final Duration STANDBY_TIMEOUT = Duration.ofMillis(1_500);

    /** Clocks of two machines drift apart by less than one part in this many. */
    private static final long CLOCK_DRIFT_DIVISOR = 20;

    /** Time after which a read or update of a platform object is considered lost, and may be sent again. */
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(3);

    /** Minimum time between a read of a lease's object and the next one. */
    private static final Duration MIN_READ_INTERVAL = Duration.ofMillis(100);

    /** Time between two renewal requests while any held lease is not usable. */
    private static final Duration RENEWAL_INTERVAL_WHILE_UNUSABLE = Duration.ofMillis(100);

    /** Delay of the next read after a read or update of unknown result. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    /** Time after which a renewal request is discarded, so that a response to it is ignored. */
    private static final Duration RENEWAL_REQUEST_RETENTION = Duration.ofSeconds(10);

    private LeasesLogic() {}

    /**
     * Lengthens a duration by the maximum clock drift.
     *
     * @param duration duration on another machine's clock
     * @return a duration that is at least as long on any machine's clock
     */
    public static Duration withClockDrift(Duration duration) {
        return duration.plus(duration.dividedBy(CLOCK_DRIFT_DIVISOR));
    }

    /**
     * Shortens all received renewals, after a pause that this process's clock did not count.
     *
     * @param state the state
     * @param time how much earlier the renewals end
     * @return the new state
     */
    public static LeasesState expireEarlier(LeasesState state, Duration time) {
        LeasesState next = state;
        for (Map.Entry<LeaseId, LeaseState> entry : state.leases().entrySet()) {
            Instant until = entry.getValue().usableUntil();
            boolean bounded = until.isAfter(Instant.MIN) && until.isBefore(Instant.MAX);
            if (bounded) {
                next = next.with(entry.getKey(), entry.getValue().withUsableUntil(until.minus(time)));
            }
        }
        return next;
    }

    /**
     * Finds the node that probably holds a lease.
     *
     * @param state the state
     * @param lease the lease
     * @param fleet current members
     * @return the holder, or else its standby or the lease's home; empty if no member accepts work
     */
    public static Optional<NodeId> locate(LeasesState state, LeaseId lease, MembershipState fleet) {
        Optional<LeaseState> known = state.find(lease);
        if (known.isPresent()) {
            NodeId holder = known.get().grant().holder().node();
            return Optional.of(isAlive(fleet, holder) ? holder : standbyNodeOr(known.get(), holder));
        }
        NodeId location = state.locations().get(lease);
        return location != null && isAlive(fleet, location) ? Optional.of(location) : LeasePlacement.home(lease, fleet);
    }

    private static NodeId standbyNodeOr(LeaseState state, NodeId holder) {
        return state.grant().standby().map(Owner::node).orElse(holder);
    }

    private static boolean isAlive(MembershipState fleet, NodeId node) {
        return fleet.find(node).filter(member -> !member.status().departed()).isPresent();
    }

    /**
     * Records the presumed holder of a lease; ignored if this process is holder or standby itself.
     *
     * @param state the state
     * @param lease the lease
     * @param node the presumed holder; empty to remove the recorded one
     * @return the new state
     */
    public static LeasesState recordLocation(LeasesState state, LeaseId lease, Optional<NodeId> node) {
        if (state.leases().containsKey(lease)) {
            return state;
        }
        return state.withLocations(node.map(id -> state.locations().plus(lease, id))
                .orElse(state.locations().minus(lease)));
    }

    /**
     * Reads the object of a lease from the platform, unless a read is under way or was too recent.
     *
     * @param state the state
     * @param lease the lease
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static LeasesState lookUp(LeasesState state, LeaseId lease, Instant now, Outbox out) {
        Instant until = state.pendingReads().get(lease);
        if (until != null && now.isBefore(until)) {
            return state;
        }
        out.add(new Effect.ReadGrant(lease));
        return state.withPendingReads(state.pendingReads().plus(lease, now.plus(READ_TIMEOUT)));
    }

    /**
     * Handles a read that found no object: creates the lease if this process is its home.
     *
     * @param state the state
     * @param lease the lease
     * @param fleet current members
     * @param out receives the effects
     * @return the new state
     */
    public static LeasesState handleGrantAbsent(LeasesState state, LeaseId lease, MembershipState fleet, Outbox out) {
        LeasesState next = state.withPendingReads(state.pendingReads().minus(lease));
        boolean home = LeasePlacement.home(lease, fleet)
                .filter(state.self().node()::equals)
                .isPresent();
        if (home && !next.leases().containsKey(lease)) {
            out.add(new Effect.CreateGrant(
                    lease, new Grant(state.self(), LeasePlacement.chooseStandby(lease, fleet), 1)));
        }
        return next;
    }

    /**
     * Handles a read or write whose result is unknown: delays the next read.
     *
     * @param state the state
     * @param lease the lease
     * @param now current time
     * @return the new state
     */
    public static LeasesState handleUnknownResult(LeasesState state, LeaseId lease, Instant now) {
        LeasesState next = state.withPendingReads(state.pendingReads().plus(lease, now.plus(RETRY_DELAY)));
        return next.find(lease)
                .map(known -> next.with(lease, known.withRetryAt(now.plus(RETRY_DELAY))))
                .orElse(next);
    }

    /**
     * Handles the content of a lease's object, and sends an update if the object needs one.
     *
     * @param state the state
     * @param seen content that was read, or written by this process
     * @param fleet current members
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static LeasesState handleGrantSeen(
            LeasesState state, GrantSeen seen, MembershipState fleet, Instant now, Outbox out) {
        LeasesState next = state.withPendingReads(state.pendingReads().plus(seen.lease(), now.plus(MIN_READ_INTERVAL)));
        Optional<LeaseState> known = next.find(seen.lease());
        if (known.isPresent()
                && known.get().grant().generation() >= seen.grant().generation()) {
            return updateGrantIfNeeded(next, seen.lease(), fleet, now, out);
        }
        Owner self = state.self();
        boolean holder = seen.grant().holder().node().equals(self.node());
        boolean standby = seen.grant()
                .standby()
                .filter(owner -> owner.node().equals(self.node()))
                .isPresent();
        if (!holder && !standby) {
            return recordLocation(
                    next.without(seen.lease()),
                    seen.lease(),
                    Optional.of(seen.grant().holder().node()));
        }
        LeasesState entered = next.with(seen.lease(), newLeaseState(next, known, seen, now));
        if (entered.leases().get(seen.lease()).heldBy(self)) {
            entered = entered.withRenewalRequests(entered.renewalRequests(), entered.nextSeq(), now);
        }
        return updateGrantIfNeeded(entered, seen.lease(), fleet, now, out);
    }

    private static LeaseState newLeaseState(
            LeasesState state, Optional<LeaseState> known, GrantSeen seen, Instant now) {
        Owner self = state.self();
        Grant grant = seen.grant();
        boolean heldHere = grant.holder().equals(self);
        boolean stillHeld =
                heldHere && known.filter(before -> before.heldBy(self)).isPresent();
        Optional<Long> term =
                stillHeld ? known.get().term() : heldHere ? Optional.of(grant.generation()) : Optional.empty();
        boolean wasHandedOver = Optional.ofNullable(state.handedOver().get(seen.lease()))
                .filter(generation -> generation + 1 == grant.generation())
                .isPresent();
        Acquisition acquisition = stillHeld
                ? known.get().acquisition()
                : grant.generation() == 1
                        ? Acquisition.CREATED
                        : wasHandedOver ? Acquisition.HANDED_OVER : Acquisition.TAKEN_OVER;
        // A holder that replaced its standby keeps its last renewal: the old standby can no longer take over, and the
        // new one waits a full lease duration from when it first sees this generation.
        Instant usableUntil = stillHeld ? known.get().usableUntil() : Instant.MIN;
        if (heldHere && grant.standby().isEmpty()) {
            usableUntil = Instant.MAX;
        }
        return new LeaseState(
                grant,
                seen.objectVersion(),
                term,
                stillHeld ? known.get().acquiredAt() : now,
                acquisition,
                now.plus(withClockDrift(LEASE_DURATION)),
                usableUntil,
                false,
                false,
                now);
    }

    /** Sends an update if the object, as last read, needs one; called only right after a read. */
    private static LeasesState updateGrantIfNeeded(
            LeasesState state, LeaseId lease, MembershipState fleet, Instant now, Outbox out) {
        Optional<LeaseState> found = state.find(lease);
        if (found.isEmpty()) {
            return state;
        }
        LeaseState known = found.get();
        Optional<Grant> update = neededUpdate(state, lease, known, fleet, now);
        if (update.isEmpty()) {
            return state;
        }
        out.add(new Effect.UpdateGrant(lease, update.get(), known.objectVersion()));
        LeaseState sent = known.withUpdateSent().withRetryAt(now.plus(READ_TIMEOUT));
        if (known.heldBy(state.self()) && known.grant().standby().isEmpty()) {
            // From now on a standby may exist, which waits one lease duration after it first sees the new generation.
            Instant end = now.plus(LEASE_DURATION);
            sent = sent.withUsableUntil(end.isBefore(known.usableUntil()) ? end : known.usableUntil());
        }
        return state.with(lease, sent);
    }

    /** Returns the update of the object that this process may make and needs, empty if there is none. */
    private static Optional<Grant> neededUpdate(
            LeasesState state, LeaseId lease, LeaseState known, MembershipState fleet, Instant now) {
        Owner self = state.self();
        long generation = known.grant().generation();
        if (known.released()) {
            return Optional.empty();
        }
        if (known.heldBy(self)) {
            if (!known.updateSent() && !needsNewStandby(known, fleet, now)) {
                return Optional.empty();
            }
            // Without any other member that accepts work there is no standby, and nobody may take over the lease.
            Optional<Owner> standby = LeasePlacement.chooseStandby(lease, fleet);
            return standby.equals(known.grant().standby())
                    ? Optional.empty()
                    : Optional.of(new Grant(self, standby, generation + 1));
        }
        boolean heldByPredecessor = known.grant().holder().node().equals(self.node());
        boolean mayTakeOver =
                heldByPredecessor ? loansExpired(state.startedAt(), now) : standbyMayTakeOver(state, lease, known, now);
        return mayTakeOver && acceptsWork(fleet)
                ? Optional.of(new Grant(self, LeasePlacement.chooseStandby(lease, fleet), generation + 1))
                : Optional.empty();
    }

    private static boolean acceptsWork(MembershipState fleet) {
        return fleet.self().status().acceptsCalls();
    }

    private static boolean loansExpired(Instant since, Instant now) {
        return !now.isBefore(since.plus(withClockDrift(MAX_LOAN_DURATION)));
    }

    private static boolean standbyMayTakeOver(LeasesState state, LeaseId lease, LeaseState known, Instant now) {
        Long handedOver = state.handedOver().get(lease);
        if (handedOver != null && handedOver == known.grant().generation()) {
            return true;
        }
        return loansExpired(known.renewalGrantedUntil(), now);
    }

    private static boolean needsNewStandby(LeaseState known, MembershipState fleet, Instant now) {
        if (known.grant().standby().isEmpty()) {
            return fleet.members().size() > 1;
        }
        Owner standby = known.grant().standby().get();
        Optional<Member> member = fleet.find(standby.node());
        boolean leaving = member.isEmpty()
                || member.get().epoch() != standby.epoch()
                || member.get().status().ordinal() > MemberStatus.SUSPECT.ordinal()
                || member.get().status() == MemberStatus.DRAINING;
        Instant firstSeen = known.renewalGrantedUntil().minus(withClockDrift(LEASE_DURATION));
        boolean neverRenewed = known.usableUntil().isBefore(firstSeen);
        Instant lastRequest = neverRenewed ? firstSeen : known.usableUntil().minus(LEASE_DURATION);
        Instant since = lastRequest.isAfter(firstSeen) ? lastRequest : firstSeen;
        return leaving || Duration.between(since, now).compareTo(STANDBY_TIMEOUT) > 0;
    }

    /**
     * Handles the passage of time: requests renewals, and reads the objects that need an update.
     *
     * @param state the state
     * @param fleet current members
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static LeasesState tick(LeasesState state, MembershipState fleet, Instant now, Outbox out) {
        LeasesState next = state;
        for (Map.Entry<LeaseId, LeaseState> entry : state.leases().entrySet()) {
            LeaseState known = entry.getValue();
            boolean due = !now.isBefore(known.retryAt());
            if (due
                    && (known.updateSent()
                            || neededUpdate(next, entry.getKey(), known, fleet, now)
                                    .isPresent())) {
                // Reads before any update: an update of unknown result ends renewals between holder and standby, so
                // that a platform outage would make the lease unusable.
                next = lookUp(next, entry.getKey(), now, out);
            }
        }
        next = next.withPendingReads(withoutExpired(next.pendingReads(), now));
        return now.isBefore(next.nextRenewalAt()) ? next : requestRenewals(next, now, out);
    }

    private static PMap<LeaseId, Instant> withoutExpired(PMap<LeaseId, Instant> pendingReads, Instant now) {
        PMap<LeaseId, Instant> left = pendingReads;
        for (Map.Entry<LeaseId, Instant> entry : pendingReads.entrySet()) {
            if (!now.isBefore(entry.getValue())) {
                left = left.minus(entry.getKey());
            }
        }
        return left;
    }

    private static LeasesState requestRenewals(LeasesState state, Instant now, Outbox out) {
        Map<NodeId, List<LeaseClaim>> claims = new HashMap<>();
        for (Map.Entry<LeaseId, LeaseState> entry : state.leases().entrySet()) {
            LeaseState known = entry.getValue();
            if (known.heldBy(state.self()) && !known.updateSent() && !known.released()) {
                known.grant()
                        .standby()
                        .ifPresent(standby -> claims.computeIfAbsent(standby.node(), any -> new ArrayList<>())
                                .add(new LeaseClaim(
                                        entry.getKey(), known.grant().generation())));
            }
        }
        PMap<Long, Instant> requests = state.renewalRequests();
        for (Map.Entry<Long, Instant> old : state.renewalRequests().entrySet()) {
            if (Duration.between(old.getValue(), now).compareTo(RENEWAL_REQUEST_RETENTION) > 0) {
                requests = requests.minus(old.getKey());
            }
        }
        long seq = state.nextSeq();
        for (Map.Entry<NodeId, List<LeaseClaim>> entry : claims.entrySet()) {
            out.add(new Effect.Send(entry.getKey(), new LeaseRenewalRequest(state.self(), seq, entry.getValue())));
            requests = requests.plus(seq, now);
            seq++;
        }
        boolean anyUnusable =
                claims.values().stream().flatMap(List::stream).anyMatch(claim -> !state.usable(claim.lease(), now));
        return state.withRenewalRequests(
                requests, seq, now.plus(anyUnusable ? RENEWAL_INTERVAL_WHILE_UNUSABLE : RENEWAL_INTERVAL));
    }

    /**
     * Handles a renewal request as standby: renews the claimed leases, and reads those that are not known here at the
     * claimed generation.
     *
     * @param state the state
     * @param request the holder's request
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static LeasesState handleRenewalRequest(
            LeasesState state, LeaseRenewalRequest request, Instant now, Outbox out) {
        LeasesState next = state;
        List<LeaseClaim> granted = new ArrayList<>();
        for (LeaseClaim claim : request.claims()) {
            Optional<LeaseState> known = next.find(claim.lease());
            boolean current = known.filter(lease -> lease.grant().generation() >= claim.generation())
                    .isPresent();
            if (!current) {
                next = lookUp(next, claim.lease(), now, out);
                continue;
            }
            if (mayGrantRenewal(next, known.get(), request.holder(), claim)) {
                LeaseState renewed = known.get().withRenewalGrantedUntil(now.plus(withClockDrift(LEASE_DURATION)));
                next = next.with(claim.lease(), renewed);
                granted.add(claim);
            }
        }
        if (!granted.isEmpty()) {
            out.add(new Effect.Send(
                    request.holder().node(), new LeaseRenewalGrant(state.self(), request.seq(), granted)));
        }
        return next;
    }

    private static boolean mayGrantRenewal(LeasesState state, LeaseState known, Owner holder, LeaseClaim claim) {
        return known.grant().generation() == claim.generation()
                && known.heldBy(holder)
                && known.hasStandby(state.self())
                && !known.updateSent();
    }

    /**
     * Handles renewals as holder; late responses and those for an earlier generation are ignored.
     *
     * @param state the state
     * @param renewal the standby's response
     * @return the new state
     */
    public static LeasesState handleRenewalGrant(LeasesState state, LeaseRenewalGrant renewal) {
        Instant sentAt = state.renewalRequests().get(renewal.seq());
        if (sentAt == null) {
            return state;
        }
        LeasesState next = state;
        for (LeaseClaim claim : renewal.claims()) {
            Optional<LeaseState> known = next.find(claim.lease());
            boolean valid = known.filter(lease -> lease.grant().generation() == claim.generation()
                            && lease.heldBy(state.self())
                            && lease.hasStandby(renewal.standby())
                            && !lease.updateSent()
                            && !lease.released())
                    .isPresent();
            Instant end = sentAt.plus(LEASE_DURATION);
            if (valid && end.isAfter(known.get().usableUntil())) {
                next = next.with(claim.lease(), known.get().withUsableUntil(end));
            }
        }
        return next;
    }

    /**
     * Releases a lease permanently at its current generation, before it is handed over.
     *
     * @param state the state
     * @param lease the lease
     * @return the new state
     */
    public static LeasesState release(LeasesState state, LeaseId lease) {
        return state.find(lease)
                .map(known -> state.with(lease, known.withReleased()))
                .orElse(state);
    }

    /**
     * Handles a handover as standby: allows the takeover at once, and reads the object, which the takeover updates.
     *
     * @param state the state
     * @param lease the lease
     * @param holder the process that released it
     * @param generation generation at which it was released
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static LeasesState handleHandover(
            LeasesState state, LeaseId lease, Owner holder, long generation, Instant now, Outbox out) {
        boolean entitled = state.find(lease)
                .filter(known -> known.grant().generation() == generation
                        && known.heldBy(holder)
                        && known.hasStandbyOn(state.self().node()))
                .isPresent();
        if (!entitled) {
            return lookUp(state, lease, now, out);
        }
        return lookUp(state.withHandedOver(state.handedOver().plus(lease, generation)), lease, now, out);
    }

    /**
     * Returns whether this process has released a lease that no other process has taken over yet.
     *
     * @param state the state
     * @param lease the lease
     * @return true while the object still names this process as holder
     */
    public static boolean isHandoverPending(LeasesState state, LeaseId lease) {
        return state.find(lease)
                .filter(known -> known.heldBy(state.self()) && known.released())
                .isPresent();
    }
}
