package org.heatherhaven.core.logic.once;

import org.heatherhaven.core.model.LeaseId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The ledgers of the slots that this node holds.
 *
 * @param ledgers ledgers by slot
 */
public record OnceState(PMap<LeaseId, Ledger> ledgers) {

    /** The state of a node without ledgers. */
    public static final OnceState EMPTY = new OnceState(HashTreePMap.empty());

    OnceState with(LeaseId slot, Ledger ledger) {
        return new OnceState(ledgers.plus(slot, ledger));
    }
}
