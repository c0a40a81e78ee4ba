package org.heatherhaven.core.logic.rights;

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
 * Reducer of the exclusive rights.
 *
 * <p>The holder uses a right only while its standby has promised not to take over. The holder counts a promise from
 * before it asked, the standby from when it answered, lengthened by a margin for drifting clocks. A standby that is no
 * longer asked takes over by conditional update after its last promise and the longest loan have surely ended. Whoever
 * has sent an update at a generation neither gains nor gives promises at it any more, because an update may take
 * effect long after its sender gave up on it.
 */
public final class RightsLogic {

    /** How long a promise lasts at the holder. */
    public static final Duration PROMISE = Duration.ofSeconds(3);

    /** The longest life of anything that a holder lends. */
    public static final Duration LONGEST_LOAN = Duration.ofSeconds(1);

    /** Time between two questions for promises. */
    static final Duration ASK_INTERVAL = Duration.ofMillis(750);

    /** How long a holder waits for a silent standby before it names another. */
    static final Duration STANDBY_PATIENCE = Duration.ofMillis(1_500);

    /** Clocks of two machines drift apart by less than one part in this many. */
    private static final long DRIFT_PARTS = 20;

    private static final Duration READ_LIMIT = Duration.ofSeconds(3);
    private static final Duration READ_PAUSE = Duration.ofMillis(100);
    private static final Duration UNUSABLE_ASK_INTERVAL = Duration.ofMillis(100);
    private static final Duration RETRY = Duration.ofMillis(500);
    private static final Duration ASK_LIFE = Duration.ofSeconds(10);

    private RightsLogic() {}

    /**
     * Lengthens a duration so that it has surely passed on every clock.
     *
     * @param duration duration on another machine's clock
     * @return a duration that is not shorter on any clock
     */
    public static Duration withDrift(Duration duration) {
        return duration.plus(duration.dividedBy(DRIFT_PARTS));
    }

    /**
     * Takes the promises of standbys for nearer their end than they seemed.
     *
     * @param state the state
     * @param time how much nearer
     * @return the new state
     */
    public static RightsState aged(RightsState state, Duration time) {
        RightsState next = state;
        for (Map.Entry<LeaseId, RightState> entry : state.rights().entrySet()) {
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
    public static Optional<NodeId> whereIs(RightsState state, LeaseId right, MembershipState fleet) {
        Optional<RightState> known = state.find(right);
        if (known.isPresent()) {
            NodeId holder = known.get().grant().holder().node();
            return Optional.of(lives(fleet, holder) ? holder : standbyOr(known.get(), holder));
        }
        NodeId location = state.locations().get(right);
        return location != null && lives(fleet, location) ? Optional.of(location) : Placement.home(right, fleet);
    }

    private static NodeId standbyOr(RightState state, NodeId holder) {
        return state.grant().standby().map(Owner::node).orElse(holder);
    }

    private static boolean lives(MembershipState fleet, NodeId node) {
        return fleet.find(node).filter(member -> !member.status().departed()).isPresent();
    }

    /**
     * Notes where a right is said to be.
     *
     * @param state the state
     * @param right the right
     * @param node the node said to hold it; empty to forget what was believed
     * @return the new state
     */
    public static RightsState located(RightsState state, LeaseId right, Optional<NodeId> node) {
        if (state.rights().containsKey(right)) {
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
    public static RightsState lookUp(RightsState state, LeaseId right, Instant now, Outbox out) {
        Instant until = state.reading().get(right);
        if (until != null && now.isBefore(until)) {
            return state;
        }
        out.add(new Effect.ReadGrant(right));
        return state.withReading(state.reading().plus(right, now.plus(READ_LIMIT)));
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
    public static RightsState absent(RightsState state, LeaseId right, MembershipState fleet, Outbox out) {
        RightsState next = state.withReading(state.reading().minus(right));
        boolean mine =
                Placement.home(right, fleet).filter(state.self().node()::equals).isPresent();
        if (mine && !next.rights().containsKey(right)) {
            out.add(new Effect.CreateGrant(right, new Grant(state.self(), Placement.standby(right, fleet), 1)));
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
    public static RightsState unsettled(RightsState state, LeaseId right, Instant now) {
        RightsState next = state.withReading(state.reading().plus(right, now.plus(RETRY)));
        return next.find(right)
                .map(known -> next.with(right, known.withRetryAt(now.plus(RETRY))))
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
    public static RightsState seen(RightsState state, GrantSeen seen, MembershipState fleet, Instant now, Outbox out) {
        RightsState next = state.withReading(state.reading().plus(seen.lease(), now.plus(READ_PAUSE)));
        Optional<RightState> known = next.find(seen.lease());
        if (known.isPresent()
                && known.get().grant().generation() >= seen.grant().generation()) {
            return act(next, seen.lease(), fleet, now, out);
        }
        Owner self = state.self();
        boolean holder = seen.grant().holder().node().equals(self.node());
        boolean standby = seen.grant()
                .standby()
                .filter(owner -> owner.node().equals(self.node()))
                .isPresent();
        if (!holder && !standby) {
            return located(
                    next.without(seen.lease()),
                    seen.lease(),
                    Optional.of(seen.grant().holder().node()));
        }
        RightsState entered = next.with(seen.lease(), entered(next, known, seen, now));
        if (entered.rights().get(seen.lease()).heldBy(self)) {
            entered = entered.withAsks(entered.asks(), entered.nextSeq(), now);
        }
        return act(entered, seen.lease(), fleet, now, out);
    }

    private static RightState entered(RightsState state, Optional<RightState> known, GrantSeen seen, Instant now) {
        Owner self = state.self();
        Grant grant = seen.grant();
        boolean mine = grant.holder().equals(self);
        boolean kept = mine && known.filter(before -> before.heldBy(self)).isPresent();
        Optional<Long> term = kept ? known.get().term() : mine ? Optional.of(grant.generation()) : Optional.empty();
        boolean handed = Optional.ofNullable(state.handed().get(seen.lease()))
                .filter(generation -> generation + 1 == grant.generation())
                .isPresent();
        Acquisition by = kept
                ? known.get().takenBy()
                : grant.generation() == 1
                        ? Acquisition.CREATED
                        : handed ? Acquisition.HANDED_OVER : Acquisition.TAKEN_OVER;
        // A holder that named another standby keeps the promise it had: the old standby has lost its claim, and the
        // new one counts a full promise from the moment it first saw this generation.
        Instant usable = kept ? known.get().usableUntil() : Instant.MIN;
        if (mine && grant.standby().isEmpty()) {
            usable = Instant.MAX;
        }
        return new RightState(
                grant,
                seen.objectVersion(),
                term,
                kept ? known.get().takenAt() : now,
                by,
                now.plus(withDrift(PROMISE)),
                usable,
                false,
                false,
                now);
    }

    /** Does what the latest view of the object calls for; an update is sent only right after a read. */
    private static RightsState act(RightsState state, LeaseId right, MembershipState fleet, Instant now, Outbox out) {
        Optional<RightState> found = state.find(right);
        if (found.isEmpty()) {
            return state;
        }
        RightState known = found.get();
        Optional<Grant> wanted = wanted(state, right, known, fleet, now);
        if (wanted.isEmpty()) {
            return state;
        }
        out.add(new Effect.UpdateGrant(right, wanted.get(), known.objectVersion()));
        RightState sent = known.withWriting().withRetryAt(now.plus(READ_LIMIT));
        if (known.heldBy(state.self()) && known.grant().standby().isEmpty()) {
            // From now on a standby may exist that waits one promise from its first sight of the new generation.
            Instant end = now.plus(PROMISE);
            sent = sent.withUsableUntil(end.isBefore(known.usableUntil()) ? end : known.usableUntil());
        }
        return state.with(right, sent);
    }

    /** The change of the object that this process is entitled to, and has reason to make. */
    private static Optional<Grant> wanted(
            RightsState state, LeaseId right, RightState known, MembershipState fleet, Instant now) {
        Owner self = state.self();
        long generation = known.grant().generation();
        if (known.released()) {
            return Optional.empty();
        }
        if (known.heldBy(self)) {
            if (!known.writing() && !needsStandby(known, fleet, now)) {
                return Optional.empty();
            }
            // Without any other member in service the right goes on alone: then nobody may take it over.
            Optional<Owner> standby = Placement.standby(right, fleet);
            return standby.equals(known.grant().standby())
                    ? Optional.empty()
                    : Optional.of(new Grant(self, standby, generation + 1));
        }
        boolean formerLife = known.grant().holder().node().equals(self.node());
        boolean mayTake = formerLife ? loansOver(state.startedAt(), now) : standbyMayTake(state, right, known, now);
        return mayTake && servesOn(fleet)
                ? Optional.of(new Grant(self, Placement.standby(right, fleet), generation + 1))
                : Optional.empty();
    }

    private static boolean servesOn(MembershipState fleet) {
        return fleet.self().status().acceptsCalls();
    }

    private static boolean loansOver(Instant since, Instant now) {
        return !now.isBefore(since.plus(withDrift(LONGEST_LOAN)));
    }

    private static boolean standbyMayTake(RightsState state, LeaseId right, RightState known, Instant now) {
        Long handed = state.handed().get(right);
        if (handed != null && handed == known.grant().generation()) {
            return true;
        }
        return loansOver(known.promisedUntil(), now);
    }

    private static boolean needsStandby(RightState known, MembershipState fleet, Instant now) {
        if (known.grant().standby().isEmpty()) {
            return fleet.members().size() > 1;
        }
        Owner standby = known.grant().standby().get();
        Optional<Member> member = fleet.find(standby.node());
        boolean leaving = member.isEmpty()
                || member.get().epoch() != standby.epoch()
                || member.get().status().ordinal() > MemberStatus.SUSPECT.ordinal()
                || member.get().status() == MemberStatus.DRAINING;
        Instant firstSeen = known.promisedUntil().minus(withDrift(PROMISE));
        boolean neverPromised = known.usableUntil().isBefore(firstSeen);
        Instant lastAsk = neverPromised ? firstSeen : known.usableUntil().minus(PROMISE);
        Instant since = lastAsk.isAfter(firstSeen) ? lastAsk : firstSeen;
        return leaving || Duration.between(since, now).compareTo(STANDBY_PATIENCE) > 0;
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
    public static RightsState tick(RightsState state, MembershipState fleet, Instant now, Outbox out) {
        RightsState next = state;
        for (Map.Entry<LeaseId, RightState> entry : state.rights().entrySet()) {
            RightState known = entry.getValue();
            boolean due = !now.isBefore(known.retryAt());
            if (due
                    && (known.writing()
                            || wanted(next, entry.getKey(), known, fleet, now).isPresent())) {
                // Reading first keeps a pair alive through an outage: an update that can't be settled would end it.
                next = lookUp(next, entry.getKey(), now, out);
            }
        }
        next = next.withReading(withoutPast(next.reading(), now));
        return now.isBefore(next.nextAskAt()) ? next : ask(next, now, out);
    }

    private static PMap<LeaseId, Instant> withoutPast(PMap<LeaseId, Instant> reading, Instant now) {
        PMap<LeaseId, Instant> left = reading;
        for (Map.Entry<LeaseId, Instant> entry : reading.entrySet()) {
            if (!now.isBefore(entry.getValue())) {
                left = left.minus(entry.getKey());
            }
        }
        return left;
    }

    private static RightsState ask(RightsState state, Instant now, Outbox out) {
        Map<NodeId, List<LeaseClaim>> claims = new HashMap<>();
        for (Map.Entry<LeaseId, RightState> entry : state.rights().entrySet()) {
            RightState known = entry.getValue();
            if (known.heldBy(state.self()) && !known.writing() && !known.released()) {
                known.grant()
                        .standby()
                        .ifPresent(standby -> claims.computeIfAbsent(standby.node(), any -> new ArrayList<>())
                                .add(new LeaseClaim(
                                        entry.getKey(), known.grant().generation())));
            }
        }
        PMap<Long, Instant> asks = state.asks();
        for (Map.Entry<Long, Instant> old : state.asks().entrySet()) {
            if (Duration.between(old.getValue(), now).compareTo(ASK_LIFE) > 0) {
                asks = asks.minus(old.getKey());
            }
        }
        long seq = state.nextSeq();
        for (Map.Entry<NodeId, List<LeaseClaim>> entry : claims.entrySet()) {
            out.add(new Effect.Send(entry.getKey(), new LeaseRenewalRequest(state.self(), seq, entry.getValue())));
            asks = asks.plus(seq, now);
            seq++;
        }
        boolean waiting =
                claims.values().stream().flatMap(List::stream).anyMatch(claim -> !state.usable(claim.lease(), now));
        return state.withAsks(asks, seq, now.plus(waiting ? UNUSABLE_ASK_INTERVAL : ASK_INTERVAL));
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
    public static RightsState asked(RightsState state, LeaseRenewalRequest ask, Instant now, Outbox out) {
        RightsState next = state;
        List<LeaseClaim> given = new ArrayList<>();
        for (LeaseClaim claim : ask.claims()) {
            Optional<RightState> known = next.find(claim.lease());
            boolean current = known.filter(right -> right.grant().generation() >= claim.generation())
                    .isPresent();
            if (!current) {
                next = lookUp(next, claim.lease(), now, out);
                continue;
            }
            if (mayPromise(next, known.get(), ask.holder(), claim)) {
                RightState promised = known.get().withPromisedUntil(now.plus(withDrift(PROMISE)));
                next = next.with(claim.lease(), promised);
                given.add(claim);
            }
        }
        if (!given.isEmpty()) {
            out.add(new Effect.Send(ask.holder().node(), new LeaseRenewalGrant(state.self(), ask.seq(), given)));
        }
        return next;
    }

    private static boolean mayPromise(RightsState state, RightState known, Owner holder, LeaseClaim claim) {
        return known.grant().generation() == claim.generation()
                && known.heldBy(holder)
                && known.standbyIs(state.self())
                && !known.writing();
    }

    /**
     * Takes promises as holder.
     *
     * @param state the state
     * @param give the promises
     * @return the new state
     */
    public static RightsState promised(RightsState state, LeaseRenewalGrant give) {
        Instant askedAt = state.asks().get(give.seq());
        if (askedAt == null) {
            return state;
        }
        RightsState next = state;
        for (LeaseClaim claim : give.claims()) {
            Optional<RightState> known = next.find(claim.lease());
            boolean valid = known.filter(right -> right.grant().generation() == claim.generation()
                            && right.heldBy(state.self())
                            && right.standbyIs(give.standby())
                            && !right.writing()
                            && !right.released())
                    .isPresent();
            Instant end = askedAt.plus(PROMISE);
            if (valid && end.isAfter(known.get().usableUntil())) {
                next = next.with(claim.lease(), known.get().withUsableUntil(end));
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
    public static RightsState release(RightsState state, LeaseId right) {
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
    public static RightsState handedOver(
            RightsState state, LeaseId right, Owner holder, long generation, Instant now, Outbox out) {
        boolean entitled = state.find(right)
                .filter(known -> known.grant().generation() == generation
                        && known.heldBy(holder)
                        && known.standbyAt(state.self().node()))
                .isPresent();
        if (!entitled) {
            return lookUp(state, right, now, out);
        }
        return lookUp(state.withHanded(state.handed().plus(right, generation)), right, now, out);
    }

    /**
     * Tells whether a hand-over still waits for this process.
     *
     * @param state the state
     * @param right the right
     * @return true while the released right is not seen in other hands
     */
    public static boolean handingOver(RightsState state, LeaseId right) {
        return state.find(right)
                .filter(known -> known.heldBy(state.self()) && known.released())
                .isPresent();
    }
}
