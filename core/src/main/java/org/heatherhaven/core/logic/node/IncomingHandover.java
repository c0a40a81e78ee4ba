package org.heatherhaven.core.logic.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.heatherhaven.core.logic.quota.Lending.Remainder;
import org.heatherhaven.core.message.LeaseHandover;
import org.heatherhaven.core.model.LedgerEntry;
import org.heatherhaven.core.model.Owner;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Pages of a lease handover that have arrived so far.
 *
 * @param leavingHolder process that hands the lease over
 * @param generation generation at which it released the lease
 * @param pages ledger entries by page number, from 0
 * @param pageCount number of pages, 0 until the last page has arrived
 * @param remainder tokens left in the bucket of the share
 * @param incompleteFor remaining time for which its ledger may lack keys that an earlier holder permitted
 */
public record IncomingHandover(
        Owner leavingHolder,
        long generation,
        PMap<Integer, List<LedgerEntry>> pages,
        int pageCount,
        Remainder remainder,
        Duration incompleteFor) {

    /** Starts a handover from any of its pages, without adding that page. */
    static IncomingHandover of(LeaseHandover first) {
        return new IncomingHandover(
                first.holder(),
                first.generation(),
                HashTreePMap.empty(),
                0,
                new Remainder(first.tokens(), first.lentTokens()),
                Duration.ofMillis(first.incompleteMillis()));
    }

    /** Adds a page; a page that arrives twice counts once. */
    IncomingHandover withPage(LeaseHandover page) {
        int nextPageCount = page.last() ? page.page() + 1 : pageCount;
        return new IncomingHandover(
                leavingHolder,
                generation,
                pages.plus(page.page(), page.entries()),
                nextPageCount,
                remainder,
                incompleteFor);
    }

    /** Returns whether all pages have arrived. */
    boolean complete() {
        return pageCount > 0 && pages.size() == pageCount;
    }

    /** Returns the ledger entries of all pages, in order. */
    List<LedgerEntry> entries() {
        List<LedgerEntry> all = new ArrayList<>();
        for (int page = 0; page < pageCount; page++) {
            all.addAll(pages.get(page));
        }
        return all;
    }
}
