package org.heatherhaven.core.message;

import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;

/**
 * Requests that another member probes an unresponsive one on the sender's behalf.
 *
 * @param from record of the member that sends the request
 * @param target the unresponsive member, which responds directly to the sender of this request
 * @param seq number of the probe, which the response contains
 */
public record ProbeRequest(Member from, NodeId target, long seq) implements PeerMessage {}
