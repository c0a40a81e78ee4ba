package org.heatherhaven.core.logic.quota;

import java.time.Instant;

import org.heatherhaven.core.model.LeaseId;

/**
 * Tokens that this node has borrowed from one share with one request.
 *
 * @param share the share that lent them
 * @param seq number of the request
 * @param tokens number of tokens not spent yet
 * @param expiresAt time from which they may no longer be spent
 */
record BorrowedLoan(LeaseId share, long seq, int tokens, Instant expiresAt) {}
