package org.heatherhaven.core.logic.quota;

import java.time.Instant;

/**
 * A loan request that has not been answered yet.
 *
 * @param seq number of the request; 0 stands for a pause before the next request for the share
 * @param sentAt when the request was sent
 */
record PendingLoanRequest(long seq, Instant sentAt) {}
