package org.heatherhaven.node.wire;

import org.heatherhaven.core.model.Signal;

/**
 * Head of an answer that is sent complete, with its body, in one frame.
 *
 * @param answer status and headers of the answer
 * @param signal overload signal of the target's node, for the node that offered the call
 */
public record ReplyHead(AnswerHead answer, Signal signal) {}
