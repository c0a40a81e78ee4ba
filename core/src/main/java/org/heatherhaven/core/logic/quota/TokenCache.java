package org.heatherhaven.core.logic.quota;

import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.model.LeaseId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The borrowed tokens and pending calls of one team at a node where its calls enter.
 *
 * @param loans borrowed tokens, the oldest loan first
 * @param requests unanswered loan requests by share
 * @param pendingCalls calls that wait for a token, in order of arrival
 * @param deniedUntil shares that had no tokens, with the earliest time at which they may have some again
 * @param arrivals number of calls since the last measurement of demand
 * @param callsPerInterval smoothed number of calls in one measuring interval
 * @param lastArrivalAt when the last call arrived
 * @param lastResponseAt when an owner last responded to a request
 */
record TokenCache(
        PVector<BorrowedLoan> loans,
        PMap<LeaseId, PendingLoanRequest> requests,
        PVector<PendingCall> pendingCalls,
        PMap<LeaseId, Instant> deniedUntil,
        int arrivals,
        double callsPerInterval,
        Instant lastArrivalAt,
        Instant lastResponseAt) {

    static TokenCache start(Instant now) {
        return new TokenCache(
                TreePVector.empty(),
                HashTreePMap.empty(),
                TreePVector.empty(),
                HashTreePMap.empty(),
                0,
                0,
                now,
                Instant.MIN);
    }

    int tokens(Instant now) {
        return loans.stream()
                .filter(loan -> now.isBefore(loan.expiresAt()))
                .mapToInt(BorrowedLoan::tokens)
                .sum();
    }

    TokenCache withoutExpired(Instant now) {
        PVector<BorrowedLoan> live = loans;
        for (BorrowedLoan loan : loans) {
            if (loan.tokens() <= 0 || !now.isBefore(loan.expiresAt())) {
                live = live.minus(loan);
            }
        }
        return live == loans ? this : withLoans(live);
    }

    /** Spends a token of the oldest valid loan; empty if all tokens are spent or expired. */
    Optional<TokenCache> spendToken(Instant now) {
        for (int i = 0; i < loans.size(); i++) {
            BorrowedLoan loan = loans.get(i);
            if (loan.tokens() > 0 && now.isBefore(loan.expiresAt())) {
                BorrowedLoan left = new BorrowedLoan(loan.share(), loan.seq(), loan.tokens() - 1, loan.expiresAt());
                return Optional.of(withLoans(loans.with(i, left)));
            }
        }
        return Optional.empty();
    }

    /** Returns the request number below which all loans of a share are used up or have expired. */
    long spentBefore(LeaseId share, long nextSeq) {
        return loans.stream()
                .filter(loan -> loan.share().equals(share) && loan.tokens() > 0)
                .mapToLong(BorrowedLoan::seq)
                .min()
                .orElse(nextSeq);
    }

    TokenCache withLoans(PVector<BorrowedLoan> next) {
        return new TokenCache(
                next, requests, pendingCalls, deniedUntil, arrivals, callsPerInterval, lastArrivalAt, lastResponseAt);
    }

    TokenCache withRequests(PMap<LeaseId, PendingLoanRequest> next) {
        return new TokenCache(
                loans, next, pendingCalls, deniedUntil, arrivals, callsPerInterval, lastArrivalAt, lastResponseAt);
    }

    TokenCache withPendingCalls(PVector<PendingCall> next) {
        return new TokenCache(
                loans, requests, next, deniedUntil, arrivals, callsPerInterval, lastArrivalAt, lastResponseAt);
    }

    TokenCache withDeniedUntil(PMap<LeaseId, Instant> next) {
        return new TokenCache(
                loans, requests, pendingCalls, next, arrivals, callsPerInterval, lastArrivalAt, lastResponseAt);
    }

    TokenCache withArrival(Instant now) {
        return new TokenCache(
                loans, requests, pendingCalls, deniedUntil, arrivals + 1, callsPerInterval, now, lastResponseAt);
    }

    TokenCache withCallsPerInterval(double next) {
        return new TokenCache(loans, requests, pendingCalls, deniedUntil, 0, next, lastArrivalAt, lastResponseAt);
    }

    TokenCache withResponse(Instant now) {
        return new TokenCache(
                loans, requests, pendingCalls, deniedUntil, arrivals, callsPerInterval, lastArrivalAt, now);
    }
}
