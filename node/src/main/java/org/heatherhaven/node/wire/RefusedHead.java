package org.heatherhaven.node.wire;

import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;

/**
 * Refusal of an offered call by the node beside the target.
 *
 * @param refusal reason, outcome and retry-after delay
 * @param signal overload signal of the target's node, for the node that offered the call
 */
public record RefusedHead(Refusal refusal, Signal signal) {}
