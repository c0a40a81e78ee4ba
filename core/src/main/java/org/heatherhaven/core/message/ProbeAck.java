package org.heatherhaven.core.message;

import org.heatherhaven.core.model.Member;

/**
 * Answers a probe.
 *
 * @param from the member that is alive
 * @param seq number of the probe
 * @param gossip recent news
 */
public record ProbeAck(Member from, long seq, GossipUpdate gossip) implements PeerMessage {}
