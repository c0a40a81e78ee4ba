package org.heatherhaven.core.logic.quota;

import java.time.Instant;

import org.heatherhaven.core.model.LeaseId;

/**
 * Tokens that this node has borrowed.
 *
 * @param right the share they come from
 * @param seq number of the question that won them
 * @param tokens tokens left
 * @param expiresAt when they may no longer be spent
 */
record HeldLoan(LeaseId right, long seq, int tokens, Instant expiresAt) {}
