package org.heatherhaven.core.logic.once;

import org.heatherhaven.core.model.RightId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The ledgers of the slots that this node holds.
 *
 * @param ledgers ledgers by slot
 */
public record OnceState(PMap<RightId, Ledger> ledgers) {

    /** The state of a node without ledgers. */
    public static final OnceState EMPTY = new OnceState(HashTreePMap.empty());

    OnceState with(RightId slot, Ledger ledger) {
        return new OnceState(ledgers.plus(slot, ledger));
    }
}
