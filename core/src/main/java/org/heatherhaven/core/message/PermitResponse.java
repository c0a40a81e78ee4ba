package org.heatherhaven.core.message;

import java.util.Optional;

import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;

/**
 * Answers a question for a permit.
 *
 * @param ledgerSlot the ledger slot
 * @param seq number of the question at the asker
 * @param verdict what the ledger says
 * @param believedHolder the node that is believed to hold the right
 */
public record PermitResponse(LeaseId ledgerSlot, long seq, Verdict verdict, Optional<NodeId> believedHolder)
        implements PeerMessage {

    /** What the ledger says about an idempotency key. */
    public enum Verdict {
        /** Seen for the first time: the asker, and no one else, may run it. */
        PERMITTED,
        /** An earlier submission ran. */
        RAN,
        /** An earlier submission was permitted and its end is not known. */
        MAY_HAVE_RUN,
        /** The ledger lost its memory not long ago. */
        HISTORY_INCOMPLETE,
        /** The ledger has no room for another key. */
        FULL,
        /** The answering node does not hold the slot, or may not use it now. */
        NOT_HELD
    }
}
