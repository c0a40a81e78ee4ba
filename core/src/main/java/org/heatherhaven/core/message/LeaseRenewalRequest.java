package org.heatherhaven.core.message;

import java.util.List;

import org.heatherhaven.core.model.LeaseClaim;
import org.heatherhaven.core.model.Owner;

/**
 * Requests that the standby renews leases, so that it does not take them over for a limited time.
 *
 * @param holder process that holds the leases
 * @param seq number of the request
 * @param claims leases to renew
 */
public record LeaseRenewalRequest(Owner holder, long seq, List<LeaseClaim> claims) implements PeerMessage {}
