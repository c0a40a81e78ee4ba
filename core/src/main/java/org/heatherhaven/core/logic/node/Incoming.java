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
 * Pages of a hand-over that have arrived so far.
 *
 * @param from the leaving holder
 * @param generation generation at which it gave up the right
 * @param pages pages by number
 * @param count number of pages, 0 while the last is missing
 * @param rest tokens that it left
 * @param blindFor how long its ledger was still blind
 */
public record Incoming(
        Owner from,
        long generation,
        PMap<Integer, List<LedgerEntry>> pages,
        int count,
        Remainder rest,
        Duration blindFor) {

    static Incoming of(LeaseHandover first) {
        return new Incoming(
                first.holder(),
                first.generation(),
                HashTreePMap.empty(),
                0,
                new Remainder(first.tokens(), first.lentTokens()),
                Duration.ofMillis(first.incompleteMillis()));
    }

    Incoming with(LeaseHandover page) {
        int known = page.last() ? page.page() + 1 : count;
        return new Incoming(from, generation, pages.plus(page.page(), page.entries()), known, rest, blindFor);
    }

    boolean complete() {
        return count > 0 && pages.size() == count;
    }

    List<LedgerEntry> entries() {
        List<LedgerEntry> all = new ArrayList<>();
        for (int page = 0; page < count; page++) {
            all.addAll(pages.get(page));
        }
        return all;
    }
}
