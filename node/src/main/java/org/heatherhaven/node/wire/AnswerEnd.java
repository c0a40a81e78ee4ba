package org.heatherhaven.node.wire;

import org.heatherhaven.core.model.Signal;

/**
 * Last frame of a target's answer to a call.
 *
 * @param complete true if the target sent its whole answer, false if it broke off
 * @param signal overload signal of the target's node, for the node that offered the call
 */
public record AnswerEnd(boolean complete, Signal signal) {}
