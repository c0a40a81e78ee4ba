package org.heatherhaven.core.message;

import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;

/**
 * Checks whether a member is alive.
 *
 * @param from record of the member that sends the probe
 * @param seq number of the probe
 * @param gossip recent membership changes and the policy version of the sender
 */
public record Probe(Member from, long seq, GossipUpdate gossip) implements PeerMessage {

    /**
     * Returns the address that the response goes to.
     *
     * @return address of the sender
     */
    public NodeId replyTo() {
        return from.id();
    }
}
