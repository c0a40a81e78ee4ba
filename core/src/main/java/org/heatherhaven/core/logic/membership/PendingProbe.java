package org.heatherhaven.core.logic.membership;

import java.time.Instant;

import org.heatherhaven.core.model.NodeId;

/**
 * A probe without an answer so far.
 *
 * @param target the probed member
 * @param sentAt when it was sent
 * @param relayed true once other members were asked to probe
 */
record PendingProbe(NodeId target, Instant sentAt, boolean relayed) {}
