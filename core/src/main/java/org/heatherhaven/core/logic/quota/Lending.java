package org.heatherhaven.core.logic.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.logic.leases.LeasesLogic;
import org.heatherhaven.core.logic.quota.ShareOwners.LendingPermission;
import org.heatherhaven.core.message.LoanGrant;
import org.heatherhaven.core.message.LoanRequest;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.Team;

/** Lends the tokens of the shares that this process owns. */
public final class Lending {

    private static final Duration MIN_LOAN_DURATION = Duration.ofMillis(50);
    private static final double MILLIS_PER_SECOND = 1_000;

    private Lending() {}

    /**
     * Returns the duration of a loan: half the time in which the share refills, within limits, so that tokens lent but
     * not used soon count as free again.
     *
     * @param team the team
     * @return duration, counted from the request
     */
    static Duration loanDuration(Team team) {
        long millis = (long) (MILLIS_PER_SECOND * team.burst() / team.rate() / 2);
        return Duration.ofMillis(
                Math.min(LeasesLogic.MAX_LOAN_DURATION.toMillis(), Math.max(MIN_LOAN_DURATION.toMillis(), millis)));
    }

    /**
     * Answers a loan request; a repeated or late request is not answered.
     *
     * @param state the state
     * @param owners finds the owners of shares
     * @param team the team in its current division; empty if the policy in force does not have it
     * @param request the request
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static QuotaState handleLoanRequest(
            QuotaState state, ShareOwners owners, Optional<Team> team, LoanRequest request, Instant now, Outbox out) {
        LeaseId share = request.share();
        Optional<LendingPermission> permission = owners.lendingPermission(share, now);
        if (team.isEmpty() || permission.isEmpty()) {
            Optional<NodeId> hint = owners.ownerOf(share)
                    .filter(node -> !node.equals(owners.self().node()));
            reply(request, new LoanGrant(share, request.seq(), 0, 0, 0, false, hint), out);
            return state;
        }
        TokenBucket bucket =
                bucketOf(state, permission.get(), share, team.get(), now).refilled(team.get(), now);
        Borrower borrower = bucket.borrowers().get(request.borrower());
        if (borrower != null && request.seq() <= borrower.lastSeq()) {
            return state.withBucket(share, bucket);
        }
        bucket = bucket.withoutSpentLoans(request.borrower(), request.spentBefore());
        int amount = (int) Math.min(request.tokensWanted(), Math.floor(bucket.tokens()));
        Duration duration = loanDuration(team.get());
        long retryAfter = (long) Math.ceil((1 - Math.min(1, bucket.tokens() - amount))
                * MILLIS_PER_SECOND
                / team.get().shareRate());
        reply(
                request,
                new LoanGrant(share, request.seq(), amount, duration.toMillis(), retryAfter, true, Optional.empty()),
                out);
        return state.withBucket(share, bucket.lend(request.borrower(), request.seq(), amount, duration, now));
    }

    private static void reply(LoanRequest request, LoanGrant grant, Outbox out) {
        out.add(new Effect.Send(request.borrower().node(), grant));
    }

    private static TokenBucket bucketOf(
            QuotaState state, LendingPermission permission, LeaseId share, Team team, Instant now) {
        TokenBucket known = state.buckets().get(share);
        if (known != null && known.term() == permission.term()) {
            return known;
        }
        if (permission.startsFull()) {
            return TokenBucket.full(permission.term(), team, now);
        }
        // After a takeover the bucket starts empty: a full one would allow a second burst.
        return TokenBucket.empty(permission.term(), permission.accruesSince());
    }

    /**
     * The content of a bucket that is handed over to another process.
     *
     * @param tokens number of tokens not lent
     * @param lent number of tokens in outstanding loans
     */
    public record Remainder(double tokens, double lent) {}

    /**
     * Returns the content of the bucket of a share that is handed over. The caller has released the lease, so that the
     * tokens are not lent by both processes.
     *
     * @param state the state
     * @param share the share
     * @return the content, zero if there is no bucket
     */
    public static Remainder remainder(QuotaState state, LeaseId share) {
        TokenBucket bucket = state.buckets().get(share);
        return bucket == null ? new Remainder(0, 0) : new Remainder(bucket.tokens(), bucket.lent());
    }

    /**
     * Removes the bucket of a share that this process no longer holds.
     *
     * @param state the state
     * @param share the share
     * @return the new state
     */
    public static QuotaState closeBucket(QuotaState state, LeaseId share) {
        return state.withoutBucket(share);
    }

    /**
     * Opens the bucket of a share that was handed over.
     *
     * @param state the state
     * @param share the share
     * @param term generation at which this process became holder
     * @param from the previous holder
     * @param remainder the content of its bucket
     * @param now current time
     * @return the new state
     */
    public static QuotaState openHandedOver(
            QuotaState state, LeaseId share, long term, Owner from, Remainder remainder, Instant now) {
        return state.withBucket(
                share, TokenBucket.empty(term, now).withHandover(from, remainder.tokens(), remainder.lent(), now));
    }

    /**
     * Refills the bucket of a share and removes expired loans, if this process has one.
     *
     * @param state the state
     * @param share the share
     * @param team the team
     * @param now current time
     * @return the new state
     */
    public static QuotaState tick(QuotaState state, LeaseId share, Team team, Instant now) {
        TokenBucket bucket = state.buckets().get(share);
        return bucket == null ? state : state.withBucket(share, bucket.refilled(team, now));
    }
}
