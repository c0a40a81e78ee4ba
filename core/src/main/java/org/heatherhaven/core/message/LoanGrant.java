package org.heatherhaven.core.message;

import java.util.Optional;

import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.RightId;

/**
 * Answers a question for tokens.
 *
 * @param right the share
 * @param seq number of the question
 * @param tokens tokens lent, possibly none
 * @param lifeMillis life of the loan from the moment of asking, milliseconds
 * @param retryAfterMillis when more tokens may be there, milliseconds
 * @param held true if the answering node holds the right
 * @param askInstead the node that is believed to hold the right
 */
public record LoanGrant(
        RightId right,
        long seq,
        int tokens,
        long lifeMillis,
        long retryAfterMillis,
        boolean held,
        Optional<NodeId> askInstead)
        implements PeerMessage {}
