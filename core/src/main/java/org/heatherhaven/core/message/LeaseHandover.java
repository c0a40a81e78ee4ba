package org.heatherhaven.core.message;

import java.util.List;

import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.LedgerEntry;
import org.heatherhaven.core.model.Owner;

/**
 * Transfers a lease and its remaining state from a leaving holder to its standby. Large ledgers are sent in pages.
 *
 * @param holder the leaving holder
 * @param lease the lease
 * @param generation generation of the lease
 * @param tokens tokens remaining in the bucket; the holder releases the lease, and so lends no more, before it sends
 *     this
 * @param lentTokens tokens lent out, which count against the burst until the loans end
 * @param incompleteMillis time for which the ledger's history is still incomplete, milliseconds
 * @param entries ledger entries of this page
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
