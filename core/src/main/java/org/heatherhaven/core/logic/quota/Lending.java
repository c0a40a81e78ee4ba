package org.heatherhaven.core.logic.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.logic.quota.ShareOwners.Leave;
import org.heatherhaven.core.logic.rights.RightsLogic;
import org.heatherhaven.core.message.LoanGrant;
import org.heatherhaven.core.message.LoanRequest;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.Team;

/** The holder's side of a share. */
public final class Lending {

    private static final Duration SHORTEST_LOAN = Duration.ofMillis(50);
    private static final double MILLIS_PER_SECOND = 1_000;

    private Lending() {}

    /**
     * Life of a loan: below the time in which the share refills, so that an unused loan is not missed for long.
     *
     * @param team the team
     * @return life counted from the moment of asking
     */
    static Duration lifeOf(Team team) {
        long millis = (long) (MILLIS_PER_SECOND * team.burst() / team.rate() / 2);
        return Duration.ofMillis(
                Math.min(RightsLogic.LONGEST_LOAN.toMillis(), Math.max(SHORTEST_LOAN.toMillis(), millis)));
    }

    /**
     * Answers a question for tokens.
     *
     * @param state the state
     * @param owners who lends out which share
     * @param team the team, as in the policy in force
     * @param ask the question
     * @param now current time
     * @param out takes the effects
     * @return the new state
     */
    public static QuotaState asked(
            QuotaState state, ShareOwners owners, Optional<Team> team, LoanRequest ask, Instant now, Outbox out) {
        LeaseId right = ask.share();
        Optional<Leave> leave = owners.leave(right, now);
        if (team.isEmpty() || leave.isEmpty()) {
            Optional<NodeId> hint = owners.ownerOf(right)
                    .filter(node -> !node.equals(owners.self().node()));
            reply(ask, new LoanGrant(right, ask.seq(), 0, 0, 0, false, hint), out);
            return state;
        }
        Bucket bucket = bucketOf(state, leave.get(), right, team.get(), now).refilled(team.get(), now);
        Borrower borrower = bucket.borrowers().get(ask.borrower());
        if (borrower != null && ask.seq() <= borrower.lastSeq()) {
            return state.withBucket(right, bucket);
        }
        bucket = bucket.settled(ask.borrower(), ask.spentBefore());
        int amount = (int) Math.min(ask.tokensWanted(), Math.floor(bucket.tokens()));
        Duration life = lifeOf(team.get());
        long retryAfter = (long) Math.ceil((1 - Math.min(1, bucket.tokens() - amount))
                * MILLIS_PER_SECOND
                / team.get().shareRate());
        reply(ask, new LoanGrant(right, ask.seq(), amount, life.toMillis(), retryAfter, true, Optional.empty()), out);
        return state.withBucket(right, bucket.lend(ask.borrower(), ask.seq(), amount, life, now));
    }

    private static void reply(LoanRequest ask, LoanGrant grant, Outbox out) {
        out.add(new Effect.Send(ask.borrower().node(), grant));
    }

    private static Bucket bucketOf(QuotaState state, Leave leave, LeaseId right, Team team, Instant now) {
        Bucket known = state.buckets().get(right);
        if (known != null && known.term() == leave.term()) {
            return known;
        }
        if (leave.full()) {
            return Bucket.full(leave.term(), team, now);
        }
        // Whoever takes over starts empty: a full bucket would mint a second burst.
        return Bucket.empty(leave.term(), leave.since());
    }

    /**
     * What is left in the bucket of a share, to be handed over.
     *
     * @param tokens tokens not lent
     * @param lent tokens lent out
     */
    public record Remainder(double tokens, double lent) {}

    /**
     * Takes the rest out of the bucket of a share that is handed over; debited here before it is credited there.
     *
     * @param state the state
     * @param right the share
     * @return what was left
     */
    public static Remainder remainder(QuotaState state, LeaseId right) {
        Bucket bucket = state.buckets().get(right);
        return bucket == null ? new Remainder(0, 0) : new Remainder(bucket.tokens(), bucket.lent());
    }

    /**
     * Empties the bucket of a share that is no longer held.
     *
     * @param state the state
     * @param right the share
     * @return the new state
     */
    public static QuotaState closed(QuotaState state, LeaseId right) {
        return state.withoutBucket(right);
    }

    /**
     * Opens the bucket of a share that was handed over.
     *
     * @param state the state
     * @param right the share
     * @param term generation at which this process became holder
     * @param from the holder before
     * @param rest what that one left
     * @param now current time
     * @return the new state
     */
    public static QuotaState inherited(
            QuotaState state, LeaseId right, long term, Owner from, Remainder rest, Instant now) {
        return state.withBucket(right, Bucket.empty(term, now).inherited(from, rest.tokens(), rest.lent(), now));
    }

    /**
     * Lets time pass for a bucket.
     *
     * @param state the state
     * @param right the share
     * @param team the team
     * @param now current time
     * @return the new state
     */
    public static QuotaState tick(QuotaState state, LeaseId right, Team team, Instant now) {
        Bucket bucket = state.buckets().get(right);
        return bucket == null ? state : state.withBucket(right, bucket.refilled(team, now));
    }
}
