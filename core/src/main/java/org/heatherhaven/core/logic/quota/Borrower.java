package org.heatherhaven.core.logic.quota;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The loans of one borrower, as recorded by the owner of a share.
 *
 * @param lastSeq number of the borrower's latest request
 * @param loans outstanding loans by number of their request
 */
record Borrower(long lastSeq, PMap<Long, OutstandingLoan> loans) {

    static final Borrower NEW = new Borrower(0, HashTreePMap.empty());
}
