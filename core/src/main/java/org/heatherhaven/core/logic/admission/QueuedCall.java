package org.heatherhaven.core.logic.admission;

import java.time.Instant;

import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.logic.Hashes;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Signal;

/**
 * A call that was offered to a target, with what its admission depends on.
 *
 * @param key identifies the offer
 * @param head head of the call
 * @param bucket hash bucket of its root request
 * @param arrivedAt time when it was offered
 * @param deadline time when its caller stops waiting
 */
public record QueuedCall(OfferKey key, CallHead head, int bucket, Instant arrivedAt, Instant deadline) {

    /**
     * Returns the hash bucket of a root request. It is equal on every node, so that every hop sheds the same requests.
     *
     * @param rootId identifier of the root request
     * @return a bucket from 0 to {@link Signal#BUCKETS} - 1
     */
    public static int bucketOf(String rootId) {
        return Hashes.bucket(rootId, Signal.BUCKETS);
    }

    /**
     * Returns whether the call belongs to a request that is already in progress, or to no team, as calls that targets
     * make on open routes do.
     */
    boolean nested() {
        return head.depth() > 0 || head.team().isEmpty();
    }
}
