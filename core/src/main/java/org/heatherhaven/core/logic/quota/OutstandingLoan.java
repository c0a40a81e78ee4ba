package org.heatherhaven.core.logic.quota;

import java.time.Instant;

/**
 * Tokens that a lender has given out.
 *
 * @param tokens number of tokens
 * @param countedUntil when the loan has surely ended at its borrower
 */
record OutstandingLoan(double tokens, Instant countedUntil) {}
