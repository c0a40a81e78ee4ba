package org.heatherhaven.core.message;

import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Owner;

/**
 * Requests a loan of tokens from the owner of a share.
 *
 * @param borrower process that requests the loan
 * @param share lease of the share of the team's rate
 * @param seq number of the request; grows with every request for this share
 * @param tokensWanted number of tokens requested
 * @param spentBefore number of a request; loans of lower-numbered requests are used up or expired, and no longer count
 *     against the burst
 */
public record LoanRequest(Owner borrower, LeaseId share, long seq, int tokensWanted, long spentBefore)
        implements PeerMessage {}
