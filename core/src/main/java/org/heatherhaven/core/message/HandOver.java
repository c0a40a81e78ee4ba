package org.heatherhaven.core.message;

import java.util.List;

import org.heatherhaven.core.model.LedgerEntry;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.RightId;

/**
 * A leaving holder passes a right and what is left of it to its standby.
 *
 * @param holder the leaving holder
 * @param right the right
 * @param generation generation that the right is passed at
 * @param tokens tokens left, debited before this is sent
 * @param lent tokens lent out, which weigh on the burst until the loans have ended
 * @param blindMillis how long the ledger is still blind, milliseconds
 * @param entries ledger entries, of one page
 * @param last true on the last page
 * @param page number of the page, from 0
 */
public record HandOver(
        Owner holder,
        RightId right,
        long generation,
        double tokens,
        double lent,
        long blindMillis,
        List<LedgerEntry> entries,
        boolean last,
        int page)
        implements PeerMessage {}
