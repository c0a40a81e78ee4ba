package org.heatherhaven.node.wire;

import org.heatherhaven.core.model.CallHead;

/**
 * A call that an entry node offers to the node beside a target.
 *
 * @param call head of the call
 * @param hasBody true if chunks of a request body follow
 */
public record OfferHead(CallHead call, boolean hasBody) {}
