package org.heatherhaven.core.message;

import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Owner;

/**
 * Requests a permit to run a request that must run at most once; sent by its entry node.
 *
 * @param requester process that requests the permit
 * @param ledgerSlot lease of the ledger slot
 * @param seq number of the request at the requester
 * @param key hash of team and idempotency key
 */
public record PermitRequest(Owner requester, LeaseId ledgerSlot, long seq, String key) implements PeerMessage {}
