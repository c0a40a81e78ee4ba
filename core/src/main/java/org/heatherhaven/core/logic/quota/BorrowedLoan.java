package org.heatherhaven.core.logic.quota;

import java.time.Instant;

import org.heatherhaven.core.model.RightId;

/**
 * Tokens that this node has borrowed.
 *
 * @param share the share they come from
 * @param seq number of the question that won them
 * @param tokens tokens left
 * @param expiresAt when they may no longer be spent
 */
record BorrowedLoan(RightId share, long seq, int tokens, Instant expiresAt) {}
