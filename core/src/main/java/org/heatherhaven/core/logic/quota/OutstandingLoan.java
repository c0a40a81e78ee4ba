package org.heatherhaven.core.logic.quota;

import java.time.Instant;

/**
 * Tokens that a lender has lent and that count against its share.
 *
 * @param tokens number of tokens
 * @param countedUntil time at which the loan has ended on the borrower's clock too
 */
record OutstandingLoan(double tokens, Instant countedUntil) {}
