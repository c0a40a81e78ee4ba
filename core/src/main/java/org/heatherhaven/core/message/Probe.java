package org.heatherhaven.core.message;

import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;

/**
 * Asks whether a member is alive.
 *
 * @param from the member that wants to know; its own account travels along
 * @param seq number of the probe
 * @param gossip recent news
 */
public record Probe(Member from, long seq, GossipUpdate gossip) implements PeerMessage {

    /**
     * Where the answer goes.
     *
     * @return address of the prober
     */
    public NodeId replyTo() {
        return from.id();
    }
}
