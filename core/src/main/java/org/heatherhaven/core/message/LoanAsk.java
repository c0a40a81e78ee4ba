package org.heatherhaven.core.message;

import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.RightId;

/**
 * A node asks the holder of a share for tokens.
 *
 * @param borrower the asking process
 * @param right the share
 * @param seq number of the question, growing with each question about this share
 * @param want number of tokens asked for
 * @param spentBefore loans numbered below this are used up or over and weigh no longer
 */
public record LoanAsk(Owner borrower, RightId right, long seq, int want, long spentBefore) implements PeerMessage {}
