package org.heatherhaven.core.message;

import java.util.Optional;

import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;

/**
 * Response to a {@link LoanRequest}.
 *
 * @param share lease of the share of the team's rate
 * @param seq number of the request
 * @param tokens number of tokens lent, possibly 0
 * @param durationMillis duration of the loan from the time of the request, milliseconds
 * @param retryAfterMillis time until more tokens may be available, milliseconds
 * @param held true if the responding node owns the share, and may lend its tokens now
 * @param believedHolder node that owns the share as far as the responding node can determine
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
