package org.heatherhaven.core.message;

import java.util.List;

import org.heatherhaven.core.model.LeaseClaim;
import org.heatherhaven.core.model.Owner;

/**
 * A standby promises not to take over.
 *
 * @param standby the promising process
 * @param seq number of the question
 * @param claims the rights that the promise covers
 */
public record LeaseRenewalGrant(Owner standby, long seq, List<LeaseClaim> claims) implements PeerMessage {}
