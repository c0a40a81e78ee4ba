package org.heatherhaven.core.message;

import java.util.Optional;

import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;

/**
 * Response to a {@link PermitRequest}.
 *
 * @param ledgerSlot lease of the ledger slot
 * @param seq number of the request at the requester
 * @param verdict decision of the ledger
 * @param believedHolder node that holds the lease as far as the responding node can determine
 */
public record PermitResponse(LeaseId ledgerSlot, long seq, Verdict verdict, Optional<NodeId> believedHolder)
        implements PeerMessage {

    /** Decision of a ledger about an idempotency key; the ordinal is sent to peers. */
    public enum Verdict {
        /** The key is new: the requester, and no other process, may run the request. */
        PERMITTED,
        /** An earlier submission with this key ran. */
        RAN,
        /** An earlier submission with this key received a permit, and its outcome is unknown. */
        MAY_HAVE_RUN,
        /** The ledger lost entries recently, so earlier submissions can not be ruled out. */
        HISTORY_INCOMPLETE,
        /** The ledger has no room for another key. */
        FULL,
        /** The responding node does not hold the lease of the slot, or may not use it now. */
        NOT_HELD
    }
}
