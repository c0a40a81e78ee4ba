package org.heatherhaven.core.message;

import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Owner;

/**
 * A node asks the holder of a share for tokens.
 *
 * @param borrower the asking process
 * @param share the share
 * @param seq number of the question, growing with each question about this share
 * @param tokensWanted number of tokens asked for
 * @param spentBefore loans numbered below this are used up or over and weigh no longer
 */
public record LoanRequest(Owner borrower, LeaseId share, long seq, int tokensWanted, long spentBefore)
        implements PeerMessage {}
