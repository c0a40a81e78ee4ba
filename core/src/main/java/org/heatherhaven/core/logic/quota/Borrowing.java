package org.heatherhaven.core.logic.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.logic.quota.QuotaState.RefusedCall;
import org.heatherhaven.core.message.LoanGrant;
import org.heatherhaven.core.message.LoanRequest;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Team;
import org.pcollections.PMap;
import org.pcollections.TreePVector;

/** Borrows tokens for the calls that enter at this node, and decides which calls wait for a token or are refused. */
public final class Borrowing {

    /** Maximum time that a call waits for a token. */
    public static final Duration MAX_TOKEN_WAIT = Duration.ofMillis(200);

    private static final Duration DEMAND_INTERVAL = Duration.ofMillis(50);
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(400);
    /**
     * Time without a response after which the next owner gets a request too. A shorter delay would pass over a near
     * owner for a far one.
     */
    private static final Duration HEDGE_DELAY = Duration.ofMillis(30);

    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration REDIRECT_DELAY = Duration.ofMillis(10);
    private static final Duration NOT_HELD_DELAY = Duration.ofMillis(50);
    private static final int MAX_PENDING_CALLS = 256;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double DEMAND_SMOOTHING = 0.3;

    /** Number of measuring intervals for which tokens are borrowed in advance. */
    private static final double INTERVALS_AHEAD = 2;

    private Borrowing() {}

    /**
     * Requests a token for a call.
     *
     * @param state the state
     * @param call number of the call
     * @param team the call's team
     * @param context owners of the shares and current time
     * @param out receives the effects
     * @return the new state, which has the call among the ready, the refused or the pending calls
     */
    public static QuotaState requestToken(QuotaState state, long call, Team team, Context context, Outbox out) {
        Instant now = context.now();
        TokenCache cache = state.tokenCaches()
                .getOrDefault(team.name(), TokenCache.start(now))
                .withArrival(now);
        Optional<TokenCache> spent = cache.pendingCalls().isEmpty() ? cache.spendToken(now) : Optional.empty();
        if (spent.isPresent()) {
            QuotaState next = state.withTokenCache(team.name(), spent.get()).withReady(call);
            boolean belowDemand = spent.get().tokens(now) < spent.get().callsPerInterval();
            return belowDemand ? requestLoan(next, team, context, out) : next;
        }
        boolean denied = allSharesDenied(cache, context.owners().shares(team), now.plus(MAX_TOKEN_WAIT));
        if (denied || cache.pendingCalls().size() >= MAX_PENDING_CALLS) {
            return state.withTokenCache(team.name(), cache)
                    .withRefused(new RefusedCall(call, true, earliestTokenTime(cache, now)));
        }
        TokenCache queued =
                cache.withPendingCalls(cache.pendingCalls().plus(new PendingCall(call, now.plus(MAX_TOKEN_WAIT))));
        return requestLoan(state.withTokenCache(team.name(), queued), team, context, out);
    }

    /**
     * The owners of shares at a given time.
     *
     * @param owners finds the owners of shares
     * @param now current time
     */
    public record Context(ShareOwners owners, Instant now) {}

    private static boolean allSharesDenied(TokenCache cache, List<LeaseId> shares, Instant at) {
        return !shares.isEmpty()
                && shares.stream().map(cache.deniedUntil()::get).allMatch(until -> until != null && at.isBefore(until));
    }

    private static Instant earliestTokenTime(TokenCache cache, Instant now) {
        return cache.deniedUntil().values().stream()
                .filter(now::isBefore)
                .min(Instant::compareTo)
                .orElse(now);
    }

    private static QuotaState requestLoan(QuotaState state, Team team, Context context, Outbox out) {
        Instant now = context.now();
        TokenCache cache = state.tokenCaches().get(team.name());
        double ahead = Math.min(
                cache.callsPerInterval() * INTERVALS_AHEAD,
                context.owners().withEffectiveShares(team).shareBurst() / 2);
        int wanted = cache.pendingCalls().size() + (int) ahead - cache.tokens(now);
        if (wanted <= 0 || requestInFlight(cache, now)) {
            return state;
        }
        Optional<LeaseId> share = nextShare(cache, team, context);
        if (share.isEmpty()) {
            return state;
        }
        Optional<NodeId> holder = context.owners().ownerOf(share.get());
        if (holder.isEmpty()) {
            return state;
        }
        long seq = state.nextSeq();
        long spentBefore = cache.spentBefore(share.get(), seq);
        out.add(new Effect.Send(
                holder.get(), new LoanRequest(context.owners().self(), share.get(), seq, wanted, spentBefore)));
        TokenCache updated = cache.withRequests(cache.requests().plus(share.get(), new PendingLoanRequest(seq, now)));
        return state.withTokenCache(team.name(), updated).withNextSeq(seq + 1);
    }

    private static boolean requestInFlight(TokenCache cache, Instant now) {
        return cache.requests().values().stream()
                .anyMatch(request ->
                        request.seq() > 0 && now.isBefore(request.sentAt().plus(HEDGE_DELAY)));
    }

    private static Optional<LeaseId> nextShare(TokenCache cache, Team team, Context context) {
        return context.owners().shares(team).stream()
                .filter(share -> !cache.requests().containsKey(share))
                .filter(share -> {
                    Instant deniedUntil = cache.deniedUntil().get(share);
                    return deniedUntil == null || !context.now().isBefore(deniedUntil);
                })
                .findFirst();
    }

    /**
     * Handles the response to a loan request: stores the tokens, serves pending calls, and sends a request to the next
     * owner if needed.
     *
     * @param state the state
     * @param grant the response
     * @param team the team
     * @param context owners of the shares and current time
     * @param out receives the effects
     * @return the new state
     */
    public static QuotaState handleLoanGrant(
            QuotaState state, LoanGrant grant, Team team, Context context, Outbox out) {
        TokenCache cache = state.tokenCaches().get(team.name());
        PendingLoanRequest pending = cache == null ? null : cache.requests().get(grant.share());
        if (pending == null || pending.seq() != grant.seq()) {
            // A late or repeated response: its tokens are dropped, because counting them could exceed the share.
            return state;
        }
        Instant now = context.now();
        TokenCache answered =
                cache.withRequests(cache.requests().minus(grant.share())).withResponse(now);
        if (grant.tokens() > 0) {
            BorrowedLoan loan = new BorrowedLoan(
                    grant.share(), grant.seq(), grant.tokens(), pending.sentAt().plusMillis(grant.durationMillis()));
            answered = answered.withLoans(answered.loans().plus(loan))
                    .withDeniedUntil(answered.deniedUntil().minus(grant.share()));
        } else if (grant.held()) {
            Instant until = now.plusMillis(Math.max(1, grant.retryAfterMillis()));
            answered = answered.withDeniedUntil(answered.deniedUntil().plus(grant.share(), until));
        } else {
            // The pause limits the request rate when two nodes name each other as the owner.
            Duration pause = grant.believedHolder().isPresent() ? REDIRECT_DELAY : NOT_HELD_DELAY;
            Instant paused = now.plus(pause).minus(REQUEST_TIMEOUT);
            answered =
                    answered.withRequests(answered.requests().plus(grant.share(), new PendingLoanRequest(0, paused)));
        }
        return servePendingCalls(state.withTokenCache(team.name(), answered), team, context, out);
    }

    private static QuotaState servePendingCalls(QuotaState state, Team team, Context context, Outbox out) {
        QuotaState next = state;
        TokenCache cache = state.tokenCaches().get(team.name());
        while (!cache.pendingCalls().isEmpty()) {
            Optional<TokenCache> spent = cache.spendToken(context.now());
            if (spent.isEmpty()) {
                break;
            }
            next = next.withReady(cache.pendingCalls().get(0).call());
            cache = spent.get().withPendingCalls(cache.pendingCalls().minus(0));
        }
        next = next.withTokenCache(team.name(), cache);
        return cache.pendingCalls().isEmpty() ? next : requestLoan(next, team, context, out);
    }

    /**
     * Handles the passage of time: drops requests that have timed out, refuses calls whose wait has ended, measures
     * demand and requests tokens for pending calls.
     *
     * @param state the state
     * @param teams teams of the policy in force, by name
     * @param context owners of the shares and current time
     * @param out receives the effects
     * @return the new state
     */
    public static QuotaState tick(QuotaState state, PMap<String, Team> teams, Context context, Outbox out) {
        Instant now = context.now();
        boolean measureDemand = !now.isBefore(state.nextDemandUpdateAt());
        QuotaState next = measureDemand ? state.withNextDemandUpdateAt(now.plus(DEMAND_INTERVAL)) : state;
        for (Map.Entry<String, TokenCache> entry : state.tokenCaches().entrySet()) {
            String name = entry.getKey();
            Team team = teams.get(name);
            TokenCache cache = withoutTimedOutRequests(entry.getValue().withoutExpired(now), now);
            boolean idle = cache.pendingCalls().isEmpty()
                    && Duration.between(cache.lastArrivalAt(), now).compareTo(IDLE_TIMEOUT) > 0;
            if (idle) {
                next = next.withoutTokenCache(name);
                continue;
            }
            if (measureDemand) {
                cache = cache.withCallsPerInterval(
                        cache.callsPerInterval() + DEMAND_SMOOTHING * (cache.arrivals() - cache.callsPerInterval()));
            }
            next = refuseExpired(next, name, cache, team, context);
            if (team != null) {
                next = servePendingCalls(next, team, context, out);
            }
        }
        return next;
    }

    private static TokenCache withoutTimedOutRequests(TokenCache cache, Instant now) {
        PMap<LeaseId, PendingLoanRequest> requests = cache.requests();
        for (Map.Entry<LeaseId, PendingLoanRequest> request : cache.requests().entrySet()) {
            if (Duration.between(request.getValue().sentAt(), now).compareTo(REQUEST_TIMEOUT) >= 0) {
                requests = requests.minus(request.getKey());
            }
        }
        return requests == cache.requests() ? cache : cache.withRequests(requests);
    }

    private static QuotaState refuseExpired(
            QuotaState state, String name, TokenCache cache, Team team, Context context) {
        Instant now = context.now();
        QuotaState next = state;
        TokenCache left = cache;
        while (!left.pendingCalls().isEmpty()
                && (team == null || !now.isBefore(left.pendingCalls().get(0).waitsUntil()))) {
            boolean rateExceeded = team != null && ownersHaveResponded(left, team, context);
            Instant retryAt = team == null ? now : retryTime(left, team, now);
            next = next.withRefused(new RefusedCall(left.pendingCalls().get(0).call(), rateExceeded, retryAt));
            left = left.withPendingCalls(left.pendingCalls().minus(0));
        }
        return next.withTokenCache(name, left);
    }

    /** Returns whether calls wait because the owners have too few tokens, and not because an owner does not respond. */
    private static boolean ownersHaveResponded(TokenCache cache, Team team, Context context) {
        Instant now = context.now();
        boolean unresponsive = cache.requests().values().stream()
                .anyMatch(request ->
                        request.seq() > 0 && !now.isBefore(request.sentAt().plus(HEDGE_DELAY)));
        boolean recent = now.isBefore(cache.lastResponseAt().plus(MAX_TOKEN_WAIT));
        return cache.deniedUntil().keySet().containsAll(context.owners().shares(team)) || recent && !unresponsive;
    }

    /** Returns the earliest time at which all calls that are already pending may have received a token. */
    private static Instant retryTime(TokenCache cache, Team team, Instant now) {
        Instant served =
                now.plusMillis((long) (MILLIS_PER_SECOND * cache.pendingCalls().size() / team.rate()));
        Instant available = earliestTokenTime(cache, now);
        return available.isAfter(served) ? available : served;
    }

    /**
     * Discards all borrowed tokens, because their age is unknown after a pause of this process.
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
     * Removes a call that no longer needs a token.
     *
     * @param state the state
     * @param team name of the call's team
     * @param call number of the call
     * @return the new state
     */
    public static QuotaState cancel(QuotaState state, String team, long call) {
        TokenCache cache = state.tokenCaches().get(team);
        if (cache == null) {
            return state;
        }
        for (PendingCall pending : cache.pendingCalls()) {
            if (pending.call() == call) {
                return state.withTokenCache(
                        team, cache.withPendingCalls(cache.pendingCalls().minus(pending)));
            }
        }
        return state;
    }
}
