package org.heatherhaven.core.logic.idempotency;

import org.heatherhaven.core.model.LeaseId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The ledgers of the slots that this node holds.
 *
 * @param ledgers ledgers by slot
 */
public record IdempotencyState(PMap<LeaseId, Ledger> ledgers) {

    /** State of a node without ledgers. */
    public static final IdempotencyState EMPTY = new IdempotencyState(HashTreePMap.empty());

    IdempotencyState with(LeaseId slot, Ledger ledger) {
        return new IdempotencyState(ledgers.plus(slot, ledger));
    }
}
