package org.heatherhaven.core.message;

import java.util.List;

import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.RightClaim;

/**
 * A standby promises not to take over.
 *
 * @param standby the promising process
 * @param seq number of the question
 * @param claims the rights that the promise covers
 */
public record PromiseGive(Owner standby, long seq, List<RightClaim> claims) implements PeerMessage {}
