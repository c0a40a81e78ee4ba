package org.heatherhaven.core.message;

import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;

/**
 * Asks another member to probe a silent one on the sender's behalf.
 *
 * @param from the member that wants to know
 * @param target the silent member, which answers the asker directly
 * @param seq number that the answer shall carry
 */
public record ProbeRequest(Member from, NodeId target, long seq) implements PeerMessage {}
