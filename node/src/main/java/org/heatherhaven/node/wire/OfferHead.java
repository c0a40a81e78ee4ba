package org.heatherhaven.node.wire;

import org.heatherhaven.core.model.CallHead;

/**
 * A call on its way to a target's node.
 *
 * @param call the call
 * @param hasBody true if chunks of a body follow
 */
public record OfferHead(CallHead call, boolean hasBody) {}
