package org.heatherhaven.core.message;

import java.util.List;

import org.heatherhaven.core.model.LeaseClaim;
import org.heatherhaven.core.model.Owner;

/**
 * Requests that the standby renews leases: for a limited time, it then does not take them over.
 *
 * @param holder process that holds the leases
 * @param seq number of the request
 * @param claims leases to renew
 */
public record LeaseRenewalRequest(Owner holder, long seq, List<LeaseClaim> claims) implements PeerMessage {}
