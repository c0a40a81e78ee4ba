package org.heatherhaven.node.wire;

import org.heatherhaven.core.model.Signal;

/**
 * What stands before the body of an answer that travels whole in one frame.
 *
 * @param answer head of the answer
 * @param signal news for upstream
 */
public record ReplyHead(AnswerHead answer, Signal signal) {}
