package org.heatherhaven.node.wire;

import org.heatherhaven.core.model.Signal;

/**
 * End of a target's answer.
 *
 * @param complete false if the answer broke off
 * @param signal news for upstream
 */
public record AnswerEnd(boolean complete, Signal signal) {}
