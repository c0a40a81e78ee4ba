package org.heatherhaven.core.message;

import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Owner;

/**
 * Tells the ledger how a permitted request ended.
 *
 * @param requester process that held the permit
 * @param ledgerSlot the ledger slot
 * @param seq number of the question that won the permit
 * @param key hash of team and idempotency key
 * @param outcome what is known; only the permit's own holder may say {@link Outcome#NOT_RUN}
 */
public record PermitReport(Owner requester, LeaseId ledgerSlot, long seq, String key, Outcome outcome)
        implements PeerMessage {}
