package org.heatherhaven.core.message;

import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Owner;

/**
 * An entry node asks whether an unrepeatable request may run.
 *
 * @param requester the asking process
 * @param ledgerSlot the ledger slot
 * @param seq number of the question at the asker
 * @param key hash of team and idempotency key
 */
public record PermitRequest(Owner requester, LeaseId ledgerSlot, long seq, String key) implements PeerMessage {}
