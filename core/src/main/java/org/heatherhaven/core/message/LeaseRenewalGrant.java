package org.heatherhaven.core.message;

import java.util.List;

import org.heatherhaven.core.model.LeaseClaim;
import org.heatherhaven.core.model.Owner;

/**
 * Response to a {@link LeaseRenewalRequest}: for a limited time, the standby does not take over the renewed leases.
 *
 * @param standby process that is the standby
 * @param seq number of the request
 * @param claims leases that are renewed
 */
public record LeaseRenewalGrant(Owner standby, long seq, List<LeaseClaim> claims) implements PeerMessage {}
