package org.heatherhaven.core.logic.quota;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What a lender knows of one borrower.
 *
 * @param lastSeq number of its latest question
 * @param loans loans by number of the question
 */
record Borrower(long lastSeq, PMap<Long, OutstandingLoan> loans) {

    static final Borrower NEW = new Borrower(0, HashTreePMap.empty());
}
