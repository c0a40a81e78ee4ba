package org.heatherhaven.core.message;

import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.RightId;

/**
 * An entry node asks whether an unrepeatable request may run.
 *
 * @param asker the asking process
 * @param right the ledger slot
 * @param seq number of the question at the asker
 * @param key hash of team and idempotency key
 */
public record PermitAsk(Owner asker, RightId right, long seq, String key) implements PeerMessage {}
