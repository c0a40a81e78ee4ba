package org.heatherhaven.core.logic.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.logic.leases.LeasesLogic;
import org.heatherhaven.core.logic.quota.ShareOwners.LendingPermission;
import org.heatherhaven.core.message.LoanAsk;
import org.heatherhaven.core.message.LoanGrant;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.RightId;
import org.heatherhaven.core.model.Team;

/** The holder's side of a share. */
public final class Lending {

    private static final Duration MIN_LOAN_DURATION = Duration.ofMillis(50);
    private static final double MILLIS_PER_SECOND = 1_000;

    private Lending() {}

    /**
     * Life of a loan: below the time in which the share refills, so that an unused loan is not missed for long.
     *
     * @param team the team
     * @return life counted from the moment of asking
     */
    static Duration loanDuration(Team team) {
        long millis = (long) (MILLIS_PER_SECOND * team.burst() / team.rate() / 2);
        return Duration.ofMillis(
                Math.min(LeasesLogic.MAX_LOAN_DURATION.toMillis(), Math.max(MIN_LOAN_DURATION.toMillis(), millis)));
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
    public static QuotaState handleLoanRequest(
            QuotaState state, ShareOwners owners, Optional<Team> team, LoanAsk ask, Instant now, Outbox out) {
        RightId right = ask.right();
        Optional<LendingPermission> leave = owners.lendingPermission(right, now);
        if (team.isEmpty() || leave.isEmpty()) {
            Optional<NodeId> hint = owners.ownerOf(right)
                    .filter(node -> !node.equals(owners.self().node()));
            reply(ask, new LoanGrant(right, ask.seq(), 0, 0, 0, false, hint), out);
            return state;
        }
        TokenBucket bucket =
                bucketOf(state, leave.get(), right, team.get(), now).refilled(team.get(), now);
        Borrower borrower = bucket.borrowers().get(ask.borrower());
        if (borrower != null && ask.seq() <= borrower.lastSeq()) {
            return state.withBucket(right, bucket);
        }
        bucket = bucket.withoutSpentLoans(ask.borrower(), ask.spentBefore());
        int amount = (int) Math.min(ask.want(), Math.floor(bucket.tokens()));
        Duration life = loanDuration(team.get());
        long retryAfter = (long) Math.ceil((1 - Math.min(1, bucket.tokens() - amount))
                * MILLIS_PER_SECOND
                / team.get().shareRate());
        reply(ask, new LoanGrant(right, ask.seq(), amount, life.toMillis(), retryAfter, true, Optional.empty()), out);
        return state.withBucket(right, bucket.lend(ask.borrower(), ask.seq(), amount, life, now));
    }

    private static void reply(LoanAsk ask, LoanGrant grant, Outbox out) {
        out.add(new Effect.Send(ask.borrower().node(), grant));
    }

    private static TokenBucket bucketOf(
            QuotaState state, LendingPermission leave, RightId right, Team team, Instant now) {
        TokenBucket known = state.buckets().get(right);
        if (known != null && known.term() == leave.term()) {
            return known;
        }
        if (leave.startsFull()) {
            return TokenBucket.full(leave.term(), team, now);
        }
        // Whoever takes over starts empty: a full bucket would mint a second burst.
        return TokenBucket.empty(leave.term(), leave.accruesSince());
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
    public static Remainder remainder(QuotaState state, RightId right) {
        TokenBucket bucket = state.buckets().get(right);
        return bucket == null ? new Remainder(0, 0) : new Remainder(bucket.tokens(), bucket.lent());
    }

    /**
     * Empties the bucket of a share that is no longer held.
     *
     * @param state the state
     * @param right the share
     * @return the new state
     */
    public static QuotaState closeBucket(QuotaState state, RightId right) {
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
    public static QuotaState openHandedOver(
            QuotaState state, RightId right, long term, Owner from, Remainder rest, Instant now) {
        return state.withBucket(
                right, TokenBucket.empty(term, now).withHandover(from, rest.tokens(), rest.lent(), now));
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
    public static QuotaState tick(QuotaState state, RightId right, Team team, Instant now) {
        TokenBucket bucket = state.buckets().get(right);
        return bucket == null ? state : state.withBucket(right, bucket.refilled(team, now));
    }
}
