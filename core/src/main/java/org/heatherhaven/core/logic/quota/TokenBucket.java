package org.heatherhaven.core.logic.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;

import org.heatherhaven.core.logic.leases.LeasesLogic;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.Team;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The token bucket of one share at its owner.
 *
 * <p>Tokens and outstanding loans together never exceed the share's burst. Every change refills the bucket first, with
 * the loans counted so far, and removes expired loans only afterwards. In the other order the time that passed while
 * the bucket was full would add tokens for the removed loans.
 *
 * @param term term of the permission under which the bucket was opened, see {@link ShareOwners.LendingPermission}
 * @param tokens number of tokens available to lend, with fractions
 * @param refilledAt when tokens were last added
 * @param borrowers outstanding loans by borrower
 */
record TokenBucket(long term, double tokens, Instant refilledAt, PMap<Owner, Borrower> borrowers) {

    private static final double NANOS_PER_SECOND = 1e9;

    static TokenBucket empty(long term, Instant now) {
        return new TokenBucket(term, 0, now, HashTreePMap.empty());
    }

    static TokenBucket full(long term, Team team, Instant now) {
        return new TokenBucket(term, team.shareBurst(), now, HashTreePMap.empty());
    }

    double lent() {
        return borrowers.values().stream()
                .flatMap(borrower -> borrower.loans().values().stream())
                .mapToDouble(OutstandingLoan::tokens)
                .sum();
    }

    /** Adds the tokens that accrued since the last refill, then removes loans that have ended at their borrowers. */
    TokenBucket refilled(Team team, Instant now) {
        double seconds = Math.max(0, Duration.between(refilledAt, now).toNanos() / NANOS_PER_SECOND);
        double room = Math.max(0, team.shareBurst() - lent());
        double filled = Math.min(room, tokens + seconds * team.shareRate());
        Instant at = now.isAfter(refilledAt) ? now : refilledAt;
        return new TokenBucket(term, filled, at, borrowers).withoutExpiredLoans(now);
    }

    private TokenBucket withoutExpiredLoans(Instant now) {
        PMap<Owner, Borrower> next = borrowers;
        for (Map.Entry<Owner, Borrower> entry : borrowers.entrySet()) {
            PMap<Long, OutstandingLoan> loans = entry.getValue().loans();
            for (Map.Entry<Long, OutstandingLoan> loan : loans.entrySet()) {
                if (!now.isBefore(loan.getValue().countedUntil())) {
                    loans = loans.minus(loan.getKey());
                }
            }
            if (loans.isEmpty()) {
                next = next.minus(entry.getKey());
            } else if (loans != entry.getValue().loans()) {
                next = next.plus(entry.getKey(), new Borrower(entry.getValue().lastSeq(), loans));
            }
        }
        return next == borrowers ? this : new TokenBucket(term, tokens, refilledAt, next);
    }

    TokenBucket withoutSpentLoans(Owner owner, long spentBefore) {
        Borrower borrower = borrowers.getOrDefault(owner, Borrower.NEW);
        PMap<Long, OutstandingLoan> loans = borrower.loans();
        for (Long seq : borrower.loans().keySet()) {
            if (seq < spentBefore) {
                loans = loans.minus(seq);
            }
        }
        return new TokenBucket(
                term, tokens, refilledAt, borrowers.plus(owner, new Borrower(borrower.lastSeq(), loans)));
    }

    TokenBucket lend(Owner owner, long seq, int amount, Duration duration, Instant now) {
        Borrower borrower = borrowers.getOrDefault(owner, Borrower.NEW);
        PMap<Long, OutstandingLoan> loans = amount == 0
                ? borrower.loans()
                : borrower.loans()
                        .plus(seq, new OutstandingLoan(amount, now.plus(LeasesLogic.withClockDrift(duration))));
        return new TokenBucket(term, tokens - amount, refilledAt, borrowers.plus(owner, new Borrower(seq, loans)));
    }

    /**
     * Adds the rest of the previous holder's bucket. Its loans count as one loan of the maximum duration, under a
     * request number that no borrower can report as spent.
     */
    TokenBucket withHandover(Owner from, double left, double lent, Instant now) {
        OutstandingLoan loan =
                new OutstandingLoan(lent, now.plus(LeasesLogic.withClockDrift(LeasesLogic.MAX_LOAN_DURATION)));
        PMap<Owner, Borrower> next = lent <= 0
                ? borrowers
                : borrowers.plus(
                        from,
                        new Borrower(
                                0, HashTreePMap.<Long, OutstandingLoan>empty().plus(Long.MAX_VALUE, loan)));
        return new TokenBucket(term, tokens + left, refilledAt, next);
    }
}
