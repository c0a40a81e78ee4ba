package org.heatherhaven.core.message;

import org.heatherhaven.core.model.Member;

/**
 * Response to a {@link Probe} or a forwarded {@link ProbeRequest}.
 *
 * @param from record of the member that responds
 * @param seq number of the probe
 * @param gossip recent membership changes and the policy version of the sender
 */
public record ProbeAck(Member from, long seq, GossipUpdate gossip) implements PeerMessage {}
