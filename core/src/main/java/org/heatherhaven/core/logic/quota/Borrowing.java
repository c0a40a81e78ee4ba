package org.heatherhaven.core.logic.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.logic.quota.QuotaState.RefusedCall;
import org.heatherhaven.core.message.LoanAsk;
import org.heatherhaven.core.message.LoanGrant;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.RightId;
import org.heatherhaven.core.model.Team;
import org.pcollections.PMap;
import org.pcollections.TreePVector;

/** The side of a node where a team's calls enter. */
public final class Borrowing {

    /** How long a call may wait for a token. */
    public static final Duration MAX_TOKEN_WAIT = Duration.ofMillis(200);

    private static final Duration DEMAND_INTERVAL = Duration.ofMillis(50);
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(400);
    /** The next owner is asked only when the first is slow, so that a near one is not passed over for a far one. */
    private static final Duration HEDGE_DELAY = Duration.ofMillis(30);

    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration REDIRECT_DELAY = Duration.ofMillis(10);
    private static final Duration NOT_HELD_DELAY = Duration.ofMillis(50);
    private static final int MAX_PENDING_CALLS = 256;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double DEMAND_SMOOTHING = 0.3;

    /** Demand is covered ahead for this many looks. */
    private static final double INTERVALS_AHEAD = 2;

    private Borrowing() {}

    /**
     * Asks for a token for a call. The call is then among the ready, among the refused, or waits.
     *
     * @param state the state
     * @param call number of the call
     * @param team its team
     * @param context what is needed to find the holders
     * @param out takes the effects
     * @return the new state
     */
    public static QuotaState requestToken(QuotaState state, long call, Team team, Context context, Outbox out) {
        Instant now = context.now();
        TokenCache wallet = state.tokenCaches()
                .getOrDefault(team.name(), TokenCache.start(now))
                .withArrival(now);
        Optional<TokenCache> spent = wallet.pendingCalls().isEmpty() ? wallet.spendToken(now) : Optional.empty();
        if (spent.isPresent()) {
            QuotaState next = state.withTokenCache(team.name(), spent.get()).withReady(call);
            boolean low = spent.get().tokens(now) < spent.get().callsPerInterval();
            return low ? requestLoan(next, team, context, out) : next;
        }
        boolean hopeless = allSharesDenied(wallet, context.owners().shares(team), now.plus(MAX_TOKEN_WAIT));
        if (hopeless || wallet.pendingCalls().size() >= MAX_PENDING_CALLS) {
            return state.withTokenCache(team.name(), wallet)
                    .withRefused(new RefusedCall(call, true, earliestTokenTime(wallet, now)));
        }
        TokenCache queued =
                wallet.withPendingCalls(wallet.pendingCalls().plus(new PendingCall(call, now.plus(MAX_TOKEN_WAIT))));
        return requestLoan(state.withTokenCache(team.name(), queued), team, context, out);
    }

    /**
     * What is needed to find the owners of shares.
     *
     * @param owners who lends out which share
     * @param now current time
     */
    public record Context(ShareOwners owners, Instant now) {}

    private static boolean allSharesDenied(TokenCache wallet, List<RightId> shares, Instant at) {
        return !shares.isEmpty()
                && shares.stream()
                        .map(wallet.deniedUntil()::get)
                        .allMatch(until -> until != null && at.isBefore(until));
    }

    private static Instant earliestTokenTime(TokenCache wallet, Instant now) {
        return wallet.deniedUntil().values().stream()
                .filter(now::isBefore)
                .min(Instant::compareTo)
                .orElse(now);
    }

    private static QuotaState requestLoan(QuotaState state, Team team, Context context, Outbox out) {
        Instant now = context.now();
        TokenCache wallet = state.tokenCaches().get(team.name());
        double ahead = Math.min(
                wallet.callsPerInterval() * INTERVALS_AHEAD,
                context.owners().withEffectiveShares(team).shareBurst() / 2);
        int want = wallet.pendingCalls().size() + (int) ahead - wallet.tokens(now);
        if (want <= 0 || requestInFlight(wallet, now)) {
            return state;
        }
        Optional<RightId> share = nextShare(wallet, team, context);
        if (share.isEmpty()) {
            return state;
        }
        Optional<NodeId> holder = context.owners().ownerOf(share.get());
        if (holder.isEmpty()) {
            return state;
        }
        long seq = state.nextSeq();
        long spentBefore = wallet.spentBefore(share.get(), seq);
        out.add(new Effect.Send(
                holder.get(), new LoanAsk(context.owners().self(), share.get(), seq, want, spentBefore)));
        TokenCache asked = wallet.withRequests(wallet.requests().plus(share.get(), new PendingLoanRequest(seq, now)));
        return state.withTokenCache(team.name(), asked).withNextSeq(seq + 1);
    }

    private static boolean requestInFlight(TokenCache wallet, Instant now) {
        return wallet.requests().values().stream()
                .anyMatch(ask -> ask.seq() > 0 && now.isBefore(ask.sentAt().plus(HEDGE_DELAY)));
    }

    private static Optional<RightId> nextShare(TokenCache wallet, Team team, Context context) {
        return context.owners().shares(team).stream()
                .filter(share -> !wallet.requests().containsKey(share))
                .filter(share -> {
                    Instant deniedUntil = wallet.deniedUntil().get(share);
                    return deniedUntil == null || !context.now().isBefore(deniedUntil);
                })
                .findFirst();
    }

    /**
     * Takes the answer to a question for tokens.
     *
     * @param state the state
     * @param grant the answer
     * @param team the team
     * @param context what is needed to find the holders
     * @param out takes the effects
     * @return the new state
     */
    public static QuotaState handleLoanGrant(
            QuotaState state, LoanGrant grant, Team team, Context context, Outbox out) {
        TokenCache wallet = state.tokenCaches().get(team.name());
        PendingLoanRequest pending = wallet == null ? null : wallet.requests().get(grant.right());
        if (pending == null || pending.seq() != grant.seq()) {
            // An answer that comes too late or twice: the tokens are lost, never minted.
            return state;
        }
        Instant now = context.now();
        TokenCache answered =
                wallet.withRequests(wallet.requests().minus(grant.right())).withAnswer(now);
        if (grant.tokens() > 0) {
            BorrowedLoan loan = new BorrowedLoan(
                    grant.right(), grant.seq(), grant.tokens(), pending.sentAt().plusMillis(grant.lifeMillis()));
            answered = answered.withLoans(answered.loans().plus(loan))
                    .withDeniedUntil(answered.deniedUntil().minus(grant.right()));
        } else if (grant.held()) {
            Instant until = now.plusMillis(Math.max(1, grant.retryAfterMillis()));
            answered = answered.withDeniedUntil(answered.deniedUntil().plus(grant.right(), until));
        } else {
            // Two nodes that point at each other must not be asked in a circle without a pause.
            Duration pause = grant.askInstead().isPresent() ? REDIRECT_DELAY : NOT_HELD_DELAY;
            Instant paused = now.plus(pause).minus(REQUEST_TIMEOUT);
            answered =
                    answered.withRequests(answered.requests().plus(grant.right(), new PendingLoanRequest(0, paused)));
        }
        return servePendingCalls(state.withTokenCache(team.name(), answered), team, context, out);
    }

    private static QuotaState servePendingCalls(QuotaState state, Team team, Context context, Outbox out) {
        QuotaState next = state;
        TokenCache wallet = state.tokenCaches().get(team.name());
        while (!wallet.pendingCalls().isEmpty()) {
            Optional<TokenCache> spent = wallet.spendToken(context.now());
            if (spent.isEmpty()) {
                break;
            }
            next = next.withReady(wallet.pendingCalls().get(0).call());
            wallet = spent.get().withPendingCalls(wallet.pendingCalls().minus(0));
        }
        next = next.withTokenCache(team.name(), wallet);
        return wallet.pendingCalls().isEmpty() ? next : requestLoan(next, team, context, out);
    }

    /**
     * Lets time pass: gives up unanswered questions, refuses calls that have waited in vain, and covers demand ahead.
     *
     * @param state the state
     * @param teams teams of the policy in force
     * @param context what is needed to find the holders
     * @param out takes the effects
     * @return the new state
     */
    public static QuotaState tick(QuotaState state, PMap<String, Team> teams, Context context, Outbox out) {
        Instant now = context.now();
        boolean look = !now.isBefore(state.nextDemandUpdateAt());
        QuotaState next = look ? state.withNextDemandUpdateAt(now.plus(DEMAND_INTERVAL)) : state;
        for (Map.Entry<String, TokenCache> entry : state.tokenCaches().entrySet()) {
            String name = entry.getKey();
            Team team = teams.get(name);
            TokenCache wallet = withoutTimedOutRequests(entry.getValue().withoutExpired(now), now);
            boolean idle = wallet.pendingCalls().isEmpty()
                    && Duration.between(wallet.lastArrivalAt(), now).compareTo(IDLE_TIMEOUT) > 0;
            if (idle) {
                next = next.withoutTokenCache(name);
                continue;
            }
            if (look) {
                wallet = wallet.withCallsPerInterval(
                        wallet.callsPerInterval() + DEMAND_SMOOTHING * (wallet.arrivals() - wallet.callsPerInterval()));
            }
            next = refuseExpired(next, name, wallet, team, context);
            if (team != null) {
                next = servePendingCalls(next, team, context, out);
            }
        }
        return next;
    }

    private static TokenCache withoutTimedOutRequests(TokenCache wallet, Instant now) {
        PMap<RightId, PendingLoanRequest> asks = wallet.requests();
        for (Map.Entry<RightId, PendingLoanRequest> ask : wallet.requests().entrySet()) {
            if (Duration.between(ask.getValue().sentAt(), now).compareTo(REQUEST_TIMEOUT) >= 0) {
                asks = asks.minus(ask.getKey());
            }
        }
        return asks == wallet.requests() ? wallet : wallet.withRequests(asks);
    }

    private static QuotaState refuseExpired(
            QuotaState state, String name, TokenCache wallet, Team team, Context context) {
        Instant now = context.now();
        QuotaState next = state;
        TokenCache left = wallet;
        while (!left.pendingCalls().isEmpty()
                && (team == null || !now.isBefore(left.pendingCalls().get(0).waitsUntil()))) {
            boolean denied = team != null && ownersHaveAnswered(left, team, context);
            Instant retryAt = team == null ? now : retryTime(left, team, now);
            next = next.withRefused(new RefusedCall(left.pendingCalls().get(0).call(), denied, retryAt));
            left = left.withPendingCalls(left.pendingCalls().minus(0));
        }
        return next.withTokenCache(name, left);
    }

    /** Whether calls wait for tokens that are not there yet, and not for an owner that is silent. */
    private static boolean ownersHaveAnswered(TokenCache wallet, Team team, Context context) {
        Instant now = context.now();
        boolean silent = wallet.requests().values().stream()
                .anyMatch(ask -> ask.seq() > 0 && !now.isBefore(ask.sentAt().plus(HEDGE_DELAY)));
        boolean recent = now.isBefore(wallet.lastAnswerAt().plus(MAX_TOKEN_WAIT));
        return wallet.deniedUntil().keySet().containsAll(context.owners().shares(team)) || recent && !silent;
    }

    /** When there will have been tokens for those that wait already. */
    private static Instant retryTime(TokenCache wallet, Team team, Instant now) {
        Instant served =
                now.plusMillis((long) (MILLIS_PER_SECOND * wallet.pendingCalls().size() / team.rate()));
        Instant known = earliestTokenTime(wallet, now);
        return known.isAfter(served) ? known : served;
    }

    /**
     * Gives up all borrowed tokens, because it is not known how old they are.
     *
     * @param state the state
     * @return the new state
     */
    public static QuotaState discardLoans(QuotaState state) {
        QuotaState next = state;
        for (Map.Entry<String, TokenCache> entry : state.tokenCaches().entrySet()) {
            next = next.withTokenCache(entry.getKey(), entry.getValue().withLoans(TreePVector.empty()));
        }
        return next;
    }

    /**
     * Forgets a call that no longer wants its token.
     *
     * @param state the state
     * @param team its team
     * @param call number of the call
     * @return the new state
     */
    public static QuotaState cancel(QuotaState state, String team, long call) {
        TokenCache wallet = state.tokenCaches().get(team);
        if (wallet == null) {
            return state;
        }
        for (PendingCall waiter : wallet.pendingCalls()) {
            if (waiter.call() == call) {
                return state.withTokenCache(
                        team, wallet.withPendingCalls(wallet.pendingCalls().minus(waiter)));
            }
        }
        return state;
    }
}
