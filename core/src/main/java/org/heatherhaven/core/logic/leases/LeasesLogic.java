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
import org.heatherhaven.core.message.PromiseAsk;
import org.heatherhaven.core.message.PromiseGive;
import org.heatherhaven.core.model.Grant;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.MemberStatus;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.RightClaim;
import org.heatherhaven.core.model.RightId;
import org.pcollections.PMap;

/**
 * Reducer of the exclusive rights.
 *
 * <p>The holder uses a right only while its standby has promised not to take over. The holder counts a promise from
 * before it asked, the standby from when it answered, lengthened by a margin for drifting clocks. A standby that is no
 * longer asked takes over by conditional update after its last promise and the longest loan have surely ended. Whoever
 * has sent an update at a generation neither gains nor gives promises at it any more, because an update may take
 * effect long after its sender gave up on it.
 */
public final class LeasesLogic {

    /** How long a promise lasts at the holder. */
    public static final Duration LEASE_DURATION = Duration.ofSeconds(3);

    /** The longest life of anything that a holder lends. */
    public static final Duration MAX_LOAN_DURATION = Duration.ofSeconds(1);

    /** Time between two questions for promises. */
    static final Duration RENEWAL_INTERVAL = Duration.ofMillis(750);

    /** How long a holder waits for a silent standby before it names another. */
    static final Duration STANDBY_TIMEOUT = Duration.ofMillis(1_500);

    /** Clocks of two machines drift apart by less than one part in this many. */
    private static final long CLOCK_DRIFT_DIVISOR = 20;

    private static final Duration READ_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration MIN_READ_INTERVAL = Duration.ofMillis(100);
    private static final Duration UNUSABLE_RENEWAL_INTERVAL = Duration.ofMillis(100);
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);
    private static final Duration RENEWAL_REQUEST_RETENTION = Duration.ofSeconds(10);

    private LeasesLogic() {}

    /**
     * Lengthens a duration so that it has surely passed on every clock.
     *
     * @param duration duration on another machine's clock
     * @return a duration that is not shorter on any clock
     */
    public static Duration withClockDrift(Duration duration) {
        return duration.plus(duration.dividedBy(CLOCK_DRIFT_DIVISOR));
    }

    /**
     * Takes the promises of standbys for nearer their end than they seemed.
     *
     * @param state the state
     * @param time how much nearer
     * @return the new state
     */
    public static LeasesState expireEarlier(LeasesState state, Duration time) {
        LeasesState next = state;
        for (Map.Entry<RightId, LeaseState> entry : state.leases().entrySet()) {
            Instant until = entry.getValue().usableUntil();
            boolean bounded = until.isAfter(Instant.MIN) && until.isBefore(Instant.MAX);
            if (bounded) {
                next = next.with(entry.getKey(), entry.getValue().withUsableUntil(until.minus(time)));
            }
        }
        return next;
    }

    /**
     * Where a right is, or may be found.
     *
     * @param state the state
     * @param right the right
     * @param fleet current members
     * @return the node to ask
     */
    public static Optional<NodeId> locate(LeasesState state, RightId right, MembershipState fleet) {
        Optional<LeaseState> known = state.find(right);
        if (known.isPresent()) {
            NodeId holder = known.get().grant().holder().node();
            return Optional.of(isAlive(fleet, holder) ? holder : standbyNodeOr(known.get(), holder));
        }
        NodeId location = state.locations().get(right);
        return location != null && isAlive(fleet, location) ? Optional.of(location) : LeasePlacement.home(right, fleet);
    }

    private static NodeId standbyNodeOr(LeaseState state, NodeId holder) {
        return state.grant().standby().map(Owner::node).orElse(holder);
    }

    private static boolean isAlive(MembershipState fleet, NodeId node) {
        return fleet.find(node).filter(member -> !member.status().gone()).isPresent();
    }

    /**
     * Notes where a right is said to be.
     *
     * @param state the state
     * @param right the right
     * @param node the node said to hold it; empty to forget what was believed
     * @return the new state
     */
    public static LeasesState recordLocation(LeasesState state, RightId right, Optional<NodeId> node) {
        if (state.leases().containsKey(right)) {
            return state;
        }
        return state.withLocations(node.map(id -> state.locations().plus(right, id))
                .orElse(state.locations().minus(right)));
    }

    /**
     * Looks a right up on the platform, unless that is under way.
     *
     * @param state the state
     * @param right the right
     * @param now current time
     * @param out takes the effects
     * @return the new state
     */
    public static LeasesState lookUp(LeasesState state, RightId right, Instant now, Outbox out) {
        Instant until = state.pendingReads().get(right);
        if (until != null && now.isBefore(until)) {
            return state;
        }
        out.add(new Effect.ReadGrant(right));
        return state.withPendingReads(state.pendingReads().plus(right, now.plus(READ_TIMEOUT)));
    }

    /**
     * Creates a right that is needed and does not exist, if this process is its home.
     *
     * @param state the state
     * @param right the right
     * @param fleet current members
     * @param out takes the effects
     * @return the new state
     */
    public static LeasesState handleGrantAbsent(LeasesState state, RightId right, MembershipState fleet, Outbox out) {
        LeasesState next = state.withPendingReads(state.pendingReads().minus(right));
        boolean mine = LeasePlacement.home(right, fleet)
                .filter(state.self().node()::equals)
                .isPresent();
        if (mine && !next.leases().containsKey(right)) {
            out.add(new Effect.CreateGrant(
                    right, new Grant(state.self(), LeasePlacement.chooseStandby(right, fleet), 1)));
        }
        return next;
    }

    /**
     * Notes that nothing certain is known of a read or write.
     *
     * @param state the state
     * @param right the right
     * @param now current time
     * @return the new state
     */
    public static LeasesState handleUnknownResult(LeasesState state, RightId right, Instant now) {
        LeasesState next = state.withPendingReads(state.pendingReads().plus(right, now.plus(RETRY_DELAY)));
        return next.find(right)
                .map(known -> next.with(right, known.withRetryAt(now.plus(RETRY_DELAY))))
                .orElse(next);
    }

    /**
     * Takes the content of a right's object.
     *
     * @param state the state
     * @param seen what was read, or written by this process
     * @param fleet current members
     * @param now current time
     * @param out takes the effects
     * @return the new state
     */
    public static LeasesState handleGrantSeen(
            LeasesState state, GrantSeen seen, MembershipState fleet, Instant now, Outbox out) {
        LeasesState next = state.withPendingReads(state.pendingReads().plus(seen.right(), now.plus(MIN_READ_INTERVAL)));
        Optional<LeaseState> known = next.find(seen.right());
        if (known.isPresent()
                && known.get().grant().generation() >= seen.grant().generation()) {
            return updateGrantIfNeeded(next, seen.right(), fleet, now, out);
        }
        Owner self = state.self();
        boolean holder = seen.grant().holder().node().equals(self.node());
        boolean standby = seen.grant()
                .standby()
                .filter(owner -> owner.node().equals(self.node()))
                .isPresent();
        if (!holder && !standby) {
            return recordLocation(
                    next.without(seen.right()),
                    seen.right(),
                    Optional.of(seen.grant().holder().node()));
        }
        LeasesState entered = next.with(seen.right(), enterGrant(next, known, seen, now));
        if (entered.leases().get(seen.right()).heldBy(self)) {
            entered = entered.withRenewalRequests(entered.renewalRequests(), entered.nextSeq(), now);
        }
        return updateGrantIfNeeded(entered, seen.right(), fleet, now, out);
    }

    private static LeaseState enterGrant(LeasesState state, Optional<LeaseState> known, GrantSeen seen, Instant now) {
        Owner self = state.self();
        Grant grant = seen.grant();
        boolean mine = grant.holder().equals(self);
        boolean kept = mine && known.filter(before -> before.heldBy(self)).isPresent();
        Optional<Long> term = kept ? known.get().term() : mine ? Optional.of(grant.generation()) : Optional.empty();
        boolean handed = Optional.ofNullable(state.handedOver().get(seen.right()))
                .filter(generation -> generation + 1 == grant.generation())
                .isPresent();
        Acquisition by = kept
                ? known.get().acquisition()
                : grant.generation() == 1
                        ? Acquisition.CREATED
                        : handed ? Acquisition.HANDED_OVER : Acquisition.TAKEN_OVER;
        // A holder that named another standby keeps the promise it had: the old standby has lost its claim, and the
        // new one counts a full promise from the moment it first saw this generation.
        Instant usable = kept ? known.get().usableUntil() : Instant.MIN;
        if (mine && grant.standby().isEmpty()) {
            usable = Instant.MAX;
        }
        return new LeaseState(
                grant,
                seen.objectVersion(),
                term,
                kept ? known.get().acquiredAt() : now,
                by,
                now.plus(withClockDrift(LEASE_DURATION)),
                usable,
                false,
                false,
                now);
    }

    /** Does what the latest view of the object calls for; an update is sent only right after a read. */
    private static LeasesState updateGrantIfNeeded(
            LeasesState state, RightId right, MembershipState fleet, Instant now, Outbox out) {
        Optional<LeaseState> found = state.find(right);
        if (found.isEmpty()) {
            return state;
        }
        LeaseState known = found.get();
        Optional<Grant> wanted = neededUpdate(state, right, known, fleet, now);
        if (wanted.isEmpty()) {
            return state;
        }
        out.add(new Effect.UpdateGrant(right, wanted.get(), known.objectVersion()));
        LeaseState sent = known.withUpdateSent().withRetryAt(now.plus(READ_TIMEOUT));
        if (known.heldBy(state.self()) && known.grant().standby().isEmpty()) {
            // From now on a standby may exist that waits one promise from its first sight of the new generation.
            Instant end = now.plus(LEASE_DURATION);
            sent = sent.withUsableUntil(end.isBefore(known.usableUntil()) ? end : known.usableUntil());
        }
        return state.with(right, sent);
    }

    /** The change of the object that this process is entitled to, and has reason to make. */
    private static Optional<Grant> neededUpdate(
            LeasesState state, RightId right, LeaseState known, MembershipState fleet, Instant now) {
        Owner self = state.self();
        long generation = known.grant().generation();
        if (known.released()) {
            return Optional.empty();
        }
        if (known.heldBy(self)) {
            if (!known.updateSent() && !needsNewStandby(known, fleet, now)) {
                return Optional.empty();
            }
            // Without any other member in service the right goes on alone: then nobody may take it over.
            Optional<Owner> standby = LeasePlacement.chooseStandby(right, fleet);
            return standby.equals(known.grant().standby())
                    ? Optional.empty()
                    : Optional.of(new Grant(self, standby, generation + 1));
        }
        boolean formerLife = known.grant().holder().node().equals(self.node());
        boolean mayTake =
                formerLife ? loansExpired(state.startedAt(), now) : standbyMayTakeOver(state, right, known, now);
        return mayTake && acceptsWork(fleet)
                ? Optional.of(new Grant(self, LeasePlacement.chooseStandby(right, fleet), generation + 1))
                : Optional.empty();
    }

    private static boolean acceptsWork(MembershipState fleet) {
        return fleet.self().status().takesWork();
    }

    private static boolean loansExpired(Instant since, Instant now) {
        return !now.isBefore(since.plus(withClockDrift(MAX_LOAN_DURATION)));
    }

    private static boolean standbyMayTakeOver(LeasesState state, RightId right, LeaseState known, Instant now) {
        Long handed = state.handedOver().get(right);
        if (handed != null && handed == known.grant().generation()) {
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
        boolean neverPromised = known.usableUntil().isBefore(firstSeen);
        Instant lastAsk = neverPromised ? firstSeen : known.usableUntil().minus(LEASE_DURATION);
        Instant since = lastAsk.isAfter(firstSeen) ? lastAsk : firstSeen;
        return leaving || Duration.between(since, now).compareTo(STANDBY_TIMEOUT) > 0;
    }

    /**
     * Lets time pass: asks for promises, and looks at the platform where a change is called for.
     *
     * @param state the state
     * @param fleet current members
     * @param now current time
     * @param out takes the effects
     * @return the new state
     */
    public static LeasesState tick(LeasesState state, MembershipState fleet, Instant now, Outbox out) {
        LeasesState next = state;
        for (Map.Entry<RightId, LeaseState> entry : state.leases().entrySet()) {
            LeaseState known = entry.getValue();
            boolean due = !now.isBefore(known.retryAt());
            if (due
                    && (known.updateSent()
                            || neededUpdate(next, entry.getKey(), known, fleet, now)
                                    .isPresent())) {
                // Reading first keeps a pair alive through an outage: an update that can't be settled would end it.
                next = lookUp(next, entry.getKey(), now, out);
            }
        }
        next = next.withPendingReads(withoutExpired(next.pendingReads(), now));
        return now.isBefore(next.nextRenewalAt()) ? next : requestRenewals(next, now, out);
    }

    private static PMap<RightId, Instant> withoutExpired(PMap<RightId, Instant> reading, Instant now) {
        PMap<RightId, Instant> left = reading;
        for (Map.Entry<RightId, Instant> entry : reading.entrySet()) {
            if (!now.isBefore(entry.getValue())) {
                left = left.minus(entry.getKey());
            }
        }
        return left;
    }

    private static LeasesState requestRenewals(LeasesState state, Instant now, Outbox out) {
        Map<NodeId, List<RightClaim>> claims = new HashMap<>();
        for (Map.Entry<RightId, LeaseState> entry : state.leases().entrySet()) {
            LeaseState known = entry.getValue();
            if (known.heldBy(state.self()) && !known.updateSent() && !known.released()) {
                known.grant()
                        .standby()
                        .ifPresent(standby -> claims.computeIfAbsent(standby.node(), any -> new ArrayList<>())
                                .add(new RightClaim(
                                        entry.getKey(), known.grant().generation())));
            }
        }
        PMap<Long, Instant> asks = state.renewalRequests();
        for (Map.Entry<Long, Instant> old : state.renewalRequests().entrySet()) {
            if (Duration.between(old.getValue(), now).compareTo(RENEWAL_REQUEST_RETENTION) > 0) {
                asks = asks.minus(old.getKey());
            }
        }
        long seq = state.nextSeq();
        for (Map.Entry<NodeId, List<RightClaim>> entry : claims.entrySet()) {
            out.add(new Effect.Send(entry.getKey(), new PromiseAsk(state.self(), seq, entry.getValue())));
            asks = asks.plus(seq, now);
            seq++;
        }
        boolean waiting =
                claims.values().stream().flatMap(List::stream).anyMatch(claim -> !state.usable(claim.right(), now));
        return state.withRenewalRequests(asks, seq, now.plus(waiting ? UNUSABLE_RENEWAL_INTERVAL : RENEWAL_INTERVAL));
    }

    /**
     * Answers a holder as its standby.
     *
     * @param state the state
     * @param ask the question
     * @param now current time
     * @param out takes the effects
     * @return the new state
     */
    public static LeasesState handleRenewalRequest(LeasesState state, PromiseAsk ask, Instant now, Outbox out) {
        LeasesState next = state;
        List<RightClaim> given = new ArrayList<>();
        for (RightClaim claim : ask.claims()) {
            Optional<LeaseState> known = next.find(claim.right());
            boolean current = known.filter(right -> right.grant().generation() >= claim.generation())
                    .isPresent();
            if (!current) {
                next = lookUp(next, claim.right(), now, out);
                continue;
            }
            if (mayGrantRenewal(next, known.get(), ask.holder(), claim)) {
                LeaseState promised = known.get().withRenewalGrantedUntil(now.plus(withClockDrift(LEASE_DURATION)));
                next = next.with(claim.right(), promised);
                given.add(claim);
            }
        }
        if (!given.isEmpty()) {
            out.add(new Effect.Send(ask.holder().node(), new PromiseGive(state.self(), ask.seq(), given)));
        }
        return next;
    }

    private static boolean mayGrantRenewal(LeasesState state, LeaseState known, Owner holder, RightClaim claim) {
        return known.grant().generation() == claim.generation()
                && known.heldBy(holder)
                && known.hasStandby(state.self())
                && !known.updateSent();
    }

    /**
     * Takes promises as holder.
     *
     * @param state the state
     * @param give the promises
     * @return the new state
     */
    public static LeasesState handleRenewalGrant(LeasesState state, PromiseGive give) {
        Instant askedAt = state.renewalRequests().get(give.seq());
        if (askedAt == null) {
            return state;
        }
        LeasesState next = state;
        for (RightClaim claim : give.claims()) {
            Optional<LeaseState> known = next.find(claim.right());
            boolean valid = known.filter(right -> right.grant().generation() == claim.generation()
                            && right.heldBy(state.self())
                            && right.hasStandby(give.standby())
                            && !right.updateSent()
                            && !right.released())
                    .isPresent();
            Instant end = askedAt.plus(LEASE_DURATION);
            if (valid && end.isAfter(known.get().usableUntil())) {
                next = next.with(claim.right(), known.get().withUsableUntil(end));
            }
        }
        return next;
    }

    /**
     * Gives up a right for good at its present generation, before it is handed over.
     *
     * @param state the state
     * @param right the right
     * @return the new state
     */
    public static LeasesState release(LeasesState state, RightId right) {
        return state.find(right)
                .map(known -> state.with(right, known.withReleased()))
                .orElse(state);
    }

    /**
     * Takes the word of the holder that it has given up a right.
     *
     * @param state the state
     * @param right the right
     * @param holder who says so
     * @param generation generation at which it gave up
     * @param now current time
     * @param out takes the effects
     * @return the new state
     */
    public static LeasesState handleHandover(
            LeasesState state, RightId right, Owner holder, long generation, Instant now, Outbox out) {
        boolean entitled = state.find(right)
                .filter(known -> known.grant().generation() == generation
                        && known.heldBy(holder)
                        && known.hasStandbyOn(state.self().node()))
                .isPresent();
        if (!entitled) {
            return lookUp(state, right, now, out);
        }
        return lookUp(state.withHandedOver(state.handedOver().plus(right, generation)), right, now, out);
    }

    /**
     * Tells whether a hand-over still waits for this process.
     *
     * @param state the state
     * @param right the right
     * @return true while the released right is not seen in other hands
     */
    public static boolean isHandoverPending(LeasesState state, RightId right) {
        return state.find(right)
                .filter(known -> known.heldBy(state.self()) && known.released())
                .isPresent();
    }
}
