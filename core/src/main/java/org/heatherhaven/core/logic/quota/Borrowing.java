package org.heatherhaven.core.logic.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.logic.quota.QuotaState.DeniedCall;
import org.heatherhaven.core.message.LoanGrant;
import org.heatherhaven.core.message.LoanRequest;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Team;
import org.pcollections.PMap;
import org.pcollections.TreePVector;

/** The side of a node where a team's calls enter. */
public final class Borrowing {

    /** How long a call may wait for a token. */
    public static final Duration TOKEN_WAIT = Duration.ofMillis(200);

    private static final Duration LOOK_INTERVAL = Duration.ofMillis(50);
    private static final Duration ASK_LIMIT = Duration.ofMillis(400);
    /** The next owner is asked only when the first is slow, so that a near one is not passed over for a far one. */
    private static final Duration HEDGE_AFTER = Duration.ofMillis(30);

    private static final Duration IDLE_LIMIT = Duration.ofSeconds(30);
    private static final Duration REDIRECT_PAUSE = Duration.ofMillis(10);
    private static final Duration LOST_PAUSE = Duration.ofMillis(50);
    private static final int MAX_WAITERS = 256;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double PACE_SMOOTHING = 0.3;

    /** Demand is covered ahead for this many looks. */
    private static final double LOOKS_AHEAD = 2;

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
    public static QuotaState arrived(QuotaState state, long call, Team team, Context context, Outbox out) {
        Instant now = context.now();
        Wallet wallet =
                state.wallets().getOrDefault(team.name(), Wallet.start(now)).arrived(now);
        Optional<Wallet> spent = wallet.waiters().isEmpty() ? wallet.spend(now) : Optional.empty();
        if (spent.isPresent()) {
            QuotaState next = state.withWallet(team.name(), spent.get()).withReady(call);
            boolean low = spent.get().tokens(now) < spent.get().pace();
            return low ? ask(next, team, context, out) : next;
        }
        boolean hopeless = allDenied(wallet, context.owners().shares(team), now.plus(TOKEN_WAIT));
        if (hopeless || wallet.waiters().size() >= MAX_WAITERS) {
            return state.withWallet(team.name(), wallet).withRefused(new DeniedCall(call, true, earliest(wallet, now)));
        }
        Wallet queued = wallet.withWaiters(wallet.waiters().plus(new Waiter(call, now.plus(TOKEN_WAIT))));
        return ask(state.withWallet(team.name(), queued), team, context, out);
    }

    /**
     * What is needed to find the owners of shares.
     *
     * @param owners who lends out which share
     * @param now current time
     */
    public record Context(ShareOwners owners, Instant now) {}

    private static boolean allDenied(Wallet wallet, List<LeaseId> shares, Instant at) {
        return !shares.isEmpty()
                && shares.stream().map(wallet.denied()::get).allMatch(until -> until != null && at.isBefore(until));
    }

    private static Instant earliest(Wallet wallet, Instant now) {
        return wallet.denied().values().stream()
                .filter(now::isBefore)
                .min(Instant::compareTo)
                .orElse(now);
    }

    private static QuotaState ask(QuotaState state, Team team, Context context, Outbox out) {
        Instant now = context.now();
        Wallet wallet = state.wallets().get(team.name());
        double ahead = Math.min(
                wallet.pace() * LOOKS_AHEAD, context.owners().divided(team).shareBurst() / 2);
        int want = wallet.waiters().size() + (int) ahead - wallet.tokens(now);
        if (want <= 0 || answerIsDue(wallet, now)) {
            return state;
        }
        Optional<LeaseId> share = nextShare(wallet, team, context);
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
                holder.get(), new LoanRequest(context.owners().self(), share.get(), seq, want, spentBefore)));
        Wallet asked = wallet.withAsks(wallet.asks().plus(share.get(), new PendingAsk(seq, now)));
        return state.withWallet(team.name(), asked).withNextSeq(seq + 1);
    }

    private static boolean answerIsDue(Wallet wallet, Instant now) {
        return wallet.asks().values().stream()
                .anyMatch(ask -> ask.seq() > 0 && now.isBefore(ask.askedAt().plus(HEDGE_AFTER)));
    }

    private static Optional<LeaseId> nextShare(Wallet wallet, Team team, Context context) {
        return context.owners().shares(team).stream()
                .filter(share -> !wallet.asks().containsKey(share))
                .filter(share -> {
                    Instant deniedUntil = wallet.denied().get(share);
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
    public static QuotaState granted(QuotaState state, LoanGrant grant, Team team, Context context, Outbox out) {
        Wallet wallet = state.wallets().get(team.name());
        PendingAsk pending = wallet == null ? null : wallet.asks().get(grant.share());
        if (pending == null || pending.seq() != grant.seq()) {
            // An answer that comes too late or twice: the tokens are lost, never minted.
            return state;
        }
        Instant now = context.now();
        Wallet answered = wallet.withAsks(wallet.asks().minus(grant.share())).answered(now);
        if (grant.tokens() > 0) {
            HeldLoan loan = new HeldLoan(
                    grant.share(),
                    grant.seq(),
                    grant.tokens(),
                    pending.askedAt().plusMillis(grant.durationMillis()));
            answered = answered.withLoans(answered.loans().plus(loan))
                    .withDenied(answered.denied().minus(grant.share()));
        } else if (grant.held()) {
            Instant until = now.plusMillis(Math.max(1, grant.retryAfterMillis()));
            answered = answered.withDenied(answered.denied().plus(grant.share(), until));
        } else {
            // Two nodes that point at each other must not be asked in a circle without a pause.
            Duration pause = grant.believedHolder().isPresent() ? REDIRECT_PAUSE : LOST_PAUSE;
            Instant paused = now.plus(pause).minus(ASK_LIMIT);
            answered = answered.withAsks(answered.asks().plus(grant.share(), new PendingAsk(0, paused)));
        }
        return serve(state.withWallet(team.name(), answered), team, context, out);
    }

    private static QuotaState serve(QuotaState state, Team team, Context context, Outbox out) {
        QuotaState next = state;
        Wallet wallet = state.wallets().get(team.name());
        while (!wallet.waiters().isEmpty()) {
            Optional<Wallet> spent = wallet.spend(context.now());
            if (spent.isEmpty()) {
                break;
            }
            next = next.withReady(wallet.waiters().get(0).call());
            wallet = spent.get().withWaiters(wallet.waiters().minus(0));
        }
        next = next.withWallet(team.name(), wallet);
        return wallet.waiters().isEmpty() ? next : ask(next, team, context, out);
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
        boolean look = !now.isBefore(state.nextLookAt());
        QuotaState next = look ? state.withNextLookAt(now.plus(LOOK_INTERVAL)) : state;
        for (Map.Entry<String, Wallet> entry : state.wallets().entrySet()) {
            String name = entry.getKey();
            Team team = teams.get(name);
            Wallet wallet = withoutStaleAsks(entry.getValue().withoutExpired(now), now);
            boolean idle = wallet.waiters().isEmpty()
                    && Duration.between(wallet.usedAt(), now).compareTo(IDLE_LIMIT) > 0;
            if (idle) {
                next = next.withoutWallet(name);
                continue;
            }
            if (look) {
                wallet = wallet.withPace(wallet.pace() + PACE_SMOOTHING * (wallet.arrivals() - wallet.pace()));
            }
            next = refuseExpired(next, name, wallet, team, context);
            if (team != null) {
                next = serve(next, team, context, out);
            }
        }
        return next;
    }

    private static Wallet withoutStaleAsks(Wallet wallet, Instant now) {
        PMap<LeaseId, PendingAsk> asks = wallet.asks();
        for (Map.Entry<LeaseId, PendingAsk> ask : wallet.asks().entrySet()) {
            if (Duration.between(ask.getValue().askedAt(), now).compareTo(ASK_LIMIT) >= 0) {
                asks = asks.minus(ask.getKey());
            }
        }
        return asks == wallet.asks() ? wallet : wallet.withAsks(asks);
    }

    private static QuotaState refuseExpired(QuotaState state, String name, Wallet wallet, Team team, Context context) {
        Instant now = context.now();
        QuotaState next = state;
        Wallet left = wallet;
        while (!left.waiters().isEmpty()
                && (team == null || !now.isBefore(left.waiters().get(0).until()))) {
            boolean denied = team != null && ownersHaveAnswered(left, team, context);
            Instant retryAt = team == null ? now : earliestForAll(left, team, now);
            next = next.withRefused(new DeniedCall(left.waiters().get(0).call(), denied, retryAt));
            left = left.withWaiters(left.waiters().minus(0));
        }
        return next.withWallet(name, left);
    }

    /** Whether calls wait for tokens that are not there yet, and not for an owner that is silent. */
    private static boolean ownersHaveAnswered(Wallet wallet, Team team, Context context) {
        Instant now = context.now();
        boolean silent = wallet.asks().values().stream()
                .anyMatch(ask -> ask.seq() > 0 && !now.isBefore(ask.askedAt().plus(HEDGE_AFTER)));
        boolean recent = now.isBefore(wallet.answeredAt().plus(TOKEN_WAIT));
        return wallet.denied().keySet().containsAll(context.owners().shares(team)) || recent && !silent;
    }

    /** When there will have been tokens for those that wait already. */
    private static Instant earliestForAll(Wallet wallet, Team team, Instant now) {
        Instant served =
                now.plusMillis((long) (MILLIS_PER_SECOND * wallet.waiters().size() / team.rate()));
        Instant known = earliest(wallet, now);
        return known.isAfter(served) ? known : served;
    }

    /**
     * Gives up all borrowed tokens, because it is not known how old they are.
     *
     * @param state the state
     * @return the new state
     */
    public static QuotaState loansEnded(QuotaState state) {
        QuotaState next = state;
        for (Map.Entry<String, Wallet> entry : state.wallets().entrySet()) {
            next = next.withWallet(entry.getKey(), entry.getValue().withLoans(TreePVector.empty()));
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
    public static QuotaState gone(QuotaState state, String team, long call) {
        Wallet wallet = state.wallets().get(team);
        if (wallet == null) {
            return state;
        }
        for (Waiter waiter : wallet.waiters()) {
            if (waiter.call() == call) {
                return state.withWallet(
                        team, wallet.withWaiters(wallet.waiters().minus(waiter)));
            }
        }
        return state;
    }
}
