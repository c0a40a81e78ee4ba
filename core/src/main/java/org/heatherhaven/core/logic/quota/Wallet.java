package org.heatherhaven.core.logic.quota;

import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.model.LeaseId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The tokens of one team at a node where its calls enter.
 *
 * @param loans borrowed tokens
 * @param asks questions without an answer, by share
 * @param waiters calls that wait, in order of arrival
 * @param denied shares that had no tokens, with the time at which they may have some
 * @param arrivals calls since the last look
 * @param pace smoothed number of calls between two looks
 * @param usedAt when a call last came
 * @param answeredAt when an owner last answered a question
 */
record Wallet(
        PVector<HeldLoan> loans,
        PMap<LeaseId, PendingAsk> asks,
        PVector<Waiter> waiters,
        PMap<LeaseId, Instant> denied,
        int arrivals,
        double pace,
        Instant usedAt,
        Instant answeredAt) {

    static Wallet start(Instant now) {
        return new Wallet(
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
                .mapToInt(HeldLoan::tokens)
                .sum();
    }

    Wallet withoutExpired(Instant now) {
        PVector<HeldLoan> live = loans;
        for (HeldLoan loan : loans) {
            if (loan.tokens() <= 0 || !now.isBefore(loan.expiresAt())) {
                live = live.minus(loan);
            }
        }
        return live == loans ? this : withLoans(live);
    }

    /** Spends a token of the oldest loan; nothing if there is none at this moment. */
    Optional<Wallet> spend(Instant now) {
        for (int i = 0; i < loans.size(); i++) {
            HeldLoan loan = loans.get(i);
            if (loan.tokens() > 0 && now.isBefore(loan.expiresAt())) {
                HeldLoan left = new HeldLoan(loan.right(), loan.seq(), loan.tokens() - 1, loan.expiresAt());
                return Optional.of(withLoans(loans.with(i, left)));
            }
        }
        return Optional.empty();
    }

    /** Loans of a share with lower numbers than this are used up or over. */
    long spentBefore(LeaseId right, long nextSeq) {
        return loans.stream()
                .filter(loan -> loan.right().equals(right) && loan.tokens() > 0)
                .mapToLong(HeldLoan::seq)
                .min()
                .orElse(nextSeq);
    }

    Wallet withLoans(PVector<HeldLoan> next) {
        return new Wallet(next, asks, waiters, denied, arrivals, pace, usedAt, answeredAt);
    }

    Wallet withAsks(PMap<LeaseId, PendingAsk> next) {
        return new Wallet(loans, next, waiters, denied, arrivals, pace, usedAt, answeredAt);
    }

    Wallet withWaiters(PVector<Waiter> next) {
        return new Wallet(loans, asks, next, denied, arrivals, pace, usedAt, answeredAt);
    }

    Wallet withDenied(PMap<LeaseId, Instant> next) {
        return new Wallet(loans, asks, waiters, next, arrivals, pace, usedAt, answeredAt);
    }

    Wallet arrived(Instant now) {
        return new Wallet(loans, asks, waiters, denied, arrivals + 1, pace, now, answeredAt);
    }

    Wallet withPace(double next) {
        return new Wallet(loans, asks, waiters, denied, 0, next, usedAt, answeredAt);
    }

    Wallet answered(Instant now) {
        return new Wallet(loans, asks, waiters, denied, arrivals, pace, usedAt, now);
    }
}
