package org.heatherhaven.core.logic.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.SplittableRandom;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.logic.Hashes;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.MemberStatus;

/**
 * Keeps this node's announcement on the platform: writes it at the start, and writes it again whenever it is missing or
 * another's, for example because other members declared this node dead during a pause and removed it.
 *
 * <p>One member of each fleet also lists the announced members. Two groups of nodes that don't know each other thus
 * find each other, although no node of them is alone.
 */
public final class AnnouncementLogic {

    /** Time between two checks of the announcement, before {@link #MAX_JITTER}. */
    static final Duration CHECK_INTERVAL = Duration.ofSeconds(10);

    /** Time between two checks while the announcement may have been removed. */
    static final Duration DOUBTFUL_CHECK_INTERVAL = Duration.ofSeconds(2);

    /** Time for which a removal of the announcement that was requested before can still take effect. */
    private static final Duration DOUBT_DURATION = Duration.ofSeconds(10);

    /** Check interval for each member, between the usual and the longest one, so that the platform is not overloaded. */
    private static final Duration CHECK_INTERVAL_PER_MEMBER = Duration.ofMillis(60);

    private static final Duration MAX_CHECK_INTERVAL = Duration.ofSeconds(60);

    /** Delay of another attempt after the platform gave no definite response. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    /** Largest part by which an interval is shortened at random, so that nodes don't check at the same time. */
    private static final double MAX_JITTER = 0.25;

    private AnnouncementLogic() {}

    /**
     * Writes or checks the announcement if that is due. A node that is leaving does neither, so that its announcement
     * is not written after it was removed.
     *
     * @param state the current state
     * @param fleet current members, with this node
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static AnnouncementState tick(AnnouncementState state, MembershipState fleet, Instant now, Outbox out) {
        Member self = fleet.self();
        if (self.status() != MemberStatus.ALIVE || now.isBefore(state.nextCheckAt())) {
            return state;
        }
        if (!state.written()) {
            out.add(new Effect.Announce(self));
            return state.withNextCheckAt(now.plus(DOUBTFUL_CHECK_INTERVAL));
        }
        out.add(new Effect.CheckAnnouncement(self));
        if (lowestIdOf(fleet.members().values(), self)) {
            out.add(new Effect.ListMembers(true));
        }
        return state.withNextCheckAt(nextCheck(state, fleet, now));
    }

    private static boolean lowestIdOf(Collection<Member> members, Member self) {
        return members.stream()
                .filter(member -> !member.status().departed())
                .allMatch(member -> self.id().compareTo(member.id()) <= 0);
    }

    /**
     * Notes that the announcement was written, for the first time or again.
     *
     * @param state the current state
     * @param fleet current members, with this node
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static AnnouncementState handleWritten(
            AnnouncementState state, MembershipState fleet, Instant now, Outbox out) {
        if (!state.written()) {
            out.add(new Effect.ListMembers(false));
        }
        return new AnnouncementState(true, nextCheck(state, fleet, now), state.doubtfulUntil());
    }

    /**
     * Schedules another attempt after a write or check that failed. A node that is not announced yet lists the members
     * all the same, as reads may succeed where writes fail.
     *
     * @param state the current state
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static AnnouncementState handleFailure(AnnouncementState state, Instant now, Outbox out) {
        if (!state.written()) {
            out.add(new Effect.ListMembers(false));
        }
        return state.withNextCheckAt(now.plus(RETRY_DELAY));
    }

    /**
     * Checks the announcement soon and, for a while, more often, because other members may have removed it: they
     * declared this process dead, or it was paused for longer than they wait.
     *
     * @param state the current state
     * @param fleet current members, with this node
     * @param now current time
     * @return the new state
     */
    public static AnnouncementState suspectRemoval(AnnouncementState state, MembershipState fleet, Instant now) {
        Instant soon = now.plus(jittered(RETRY_DELAY, fleet, now));
        Instant next = soon.isBefore(state.nextCheckAt()) ? soon : state.nextCheckAt();
        return new AnnouncementState(state.written(), next, now.plus(DOUBT_DURATION));
    }

    private static Instant nextCheck(AnnouncementState state, MembershipState fleet, Instant now) {
        if (now.isBefore(state.doubtfulUntil())) {
            return now.plus(jittered(DOUBTFUL_CHECK_INTERVAL, fleet, now));
        }
        Duration bySize = CHECK_INTERVAL_PER_MEMBER.multipliedBy(fleet.members().size());
        Duration bounded = bySize.compareTo(MAX_CHECK_INTERVAL) > 0 ? MAX_CHECK_INTERVAL : bySize;
        return now.plus(jittered(bounded.compareTo(CHECK_INTERVAL) < 0 ? CHECK_INTERVAL : bounded, fleet, now));
    }

    private static Duration jittered(Duration interval, MembershipState fleet, Instant now) {
        long seed = Hashes.of(fleet.self().id().value()) + now.toEpochMilli();
        double part = 1 - MAX_JITTER * new SplittableRandom(seed).nextDouble();
        return Duration.ofMillis((long) (interval.toMillis() * part));
    }
}
