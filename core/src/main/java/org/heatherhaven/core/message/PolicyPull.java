package org.heatherhaven.core.message;

import org.heatherhaven.core.model.NodeId;

/**
 * Asks for the policy versions after one.
 *
 * @param from who asks
 * @param after the version in force at the asker
 */
public record PolicyPull(NodeId from, long after) implements PeerMessage {}
