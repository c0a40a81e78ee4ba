package org.heatherhaven.core.message;

import org.heatherhaven.core.model.NodeId;

/**
 * Requests the policy versions that follow a version.
 *
 * @param from node that sends the request
 * @param after policy version in force at the sender
 */
public record PolicyPull(NodeId from, long after) implements PeerMessage {}
