package org.heatherhaven.core.message;

import java.util.Optional;

import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;

/**
 * Answers a question for tokens.
 *
 * @param share the share
 * @param seq number of the question
 * @param tokens tokens lent, possibly none
 * @param durationMillis life of the loan from the moment of asking, milliseconds
 * @param retryAfterMillis when more tokens may be there, milliseconds
 * @param held true if the answering node holds the right
 * @param believedHolder the node that is believed to hold the right
 */
public record LoanGrant(
        LeaseId share,
        long seq,
        int tokens,
        long durationMillis,
        long retryAfterMillis,
        boolean held,
        Optional<NodeId> believedHolder)
        implements PeerMessage {}
