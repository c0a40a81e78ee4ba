package org.heatherhaven.core.message;

import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Owner;

/**
 * Reports the outcome of a permitted request to the ledger.
 *
 * @param requester process that holds the permit
 * @param ledgerSlot lease of the ledger slot
 * @param seq number of the request that received the permit
 * @param key hash of team and idempotency key
 * @param outcome whether the request has run, as far as is known; only the process that holds the permit may report
 *     {@link Outcome#NOT_RUN}
 */
public record PermitReport(Owner requester, LeaseId ledgerSlot, long seq, String key, Outcome outcome)
        implements PeerMessage {}
