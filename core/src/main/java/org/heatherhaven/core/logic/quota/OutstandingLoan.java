package org.heatherhaven.core.logic.quota;

import java.time.Instant;

/**
 * Tokens that the owner of a share has lent and that count against the share.
 *
 * @param tokens number of tokens
 * @param countedUntil time at which the loan has ended on the borrower's clock too
 */
record OutstandingLoan(double tokens, Instant countedUntil) {}
