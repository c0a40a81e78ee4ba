package org.heatherhaven.node.wire;

import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;

/**
 * A refusal by a target's node.
 *
 * @param refusal the refusal
 * @param signal news for upstream
 */
public record RefusedHead(Refusal refusal, Signal signal) {}
