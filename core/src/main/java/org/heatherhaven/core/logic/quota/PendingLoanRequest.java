package org.heatherhaven.core.logic.quota;

import java.time.Instant;

/**
 * A question for tokens without an answer so far.
 *
 * @param seq number of the question
 * @param sentAt when it was sent
 */
record PendingLoanRequest(long seq, Instant sentAt) {}
