package org.heatherhaven.core.message;

import java.util.List;

import org.heatherhaven.core.model.LeaseClaim;
import org.heatherhaven.core.model.Owner;

/**
 * A holder asks its standby not to take over for a while.
 *
 * @param holder the asking process
 * @param seq number of the question
 * @param claims the rights concerned
 */
public record LeaseRenewalRequest(Owner holder, long seq, List<LeaseClaim> claims) implements PeerMessage {}
