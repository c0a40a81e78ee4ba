package org.heatherhaven.core.message;

import java.util.List;

import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.LedgerEntry;
import org.heatherhaven.core.model.Owner;

/**
 * A leaving holder passes a right and what is left of it to its standby.
 *
 * @param holder the leaving holder
 * @param lease the right
 * @param generation generation that the right is passed at
 * @param tokens tokens left, debited before this is sent
 * @param lentTokens tokens lent out, which weigh on the burst until the loans have ended
 * @param incompleteMillis how long the ledger is still blind, milliseconds
 * @param entries ledger entries, of one page
 * @param last true on the last page
 * @param page number of the page, from 0
 */
public record LeaseHandover(
        Owner holder,
        LeaseId lease,
        long generation,
        double tokens,
        double lentTokens,
        long incompleteMillis,
        List<LedgerEntry> entries,
        boolean last,
        int page)
        implements PeerMessage {}
