package org.heatherhaven.core.logic.membership;

import java.time.Instant;

import org.heatherhaven.core.model.NodeId;

/**
 * A probe that is not answered yet.
 *
 * @param target the probed member
 * @param sentAt when the probe was sent
 * @param relayed true once other members were requested to probe the target as well
 */
record PendingProbe(NodeId target, Instant sentAt, boolean relayed) {}
