package org.heatherhaven.core.logic.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.heatherhaven.core.logic.quota.Lending.Remainder;
import org.heatherhaven.core.message.HandOver;
import org.heatherhaven.core.model.LedgerEntry;
import org.heatherhaven.core.model.Owner;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Pages of a hand-over that have arrived so far.
 *
 * @param leavingHolder the leaving holder
 * @param generation generation at which it gave up the right
 * @param pages pages by number
 * @param pageCount number of pages, 0 while the last is missing
 * @param remainder tokens that it left
 * @param incompleteFor how long its ledger was still blind
 */
public record IncomingHandover(
        Owner leavingHolder,
        long generation,
        PMap<Integer, List<LedgerEntry>> pages,
        int pageCount,
        Remainder remainder,
        Duration incompleteFor) {

    static IncomingHandover of(HandOver first) {
        return new IncomingHandover(
                first.holder(),
                first.generation(),
                HashTreePMap.empty(),
                0,
                new Remainder(first.tokens(), first.lent()),
                Duration.ofMillis(first.blindMillis()));
    }

    IncomingHandover withPage(HandOver page) {
        int known = page.last() ? page.page() + 1 : pageCount;
        return new IncomingHandover(
                leavingHolder, generation, pages.plus(page.page(), page.entries()), known, remainder, incompleteFor);
    }

    boolean complete() {
        return pageCount > 0 && pages.size() == pageCount;
    }

    List<LedgerEntry> entries() {
        List<LedgerEntry> all = new ArrayList<>();
        for (int page = 0; page < pageCount; page++) {
            all.addAll(pages.get(page));
        }
        return all;
    }
}
