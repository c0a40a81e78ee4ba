package org.heatherhaven.core.message;

import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.RightId;

/**
 * Tells the ledger how a permitted request ended.
 *
 * @param asker process that held the permit
 * @param right the ledger slot
 * @param seq number of the question that won the permit
 * @param key hash of team and idempotency key
 * @param outcome what is known; only the permit's own holder may say {@link Outcome#NOT_RUN}
 */
public record PermitReport(Owner asker, RightId right, long seq, String key, Outcome outcome) implements PeerMessage {}
