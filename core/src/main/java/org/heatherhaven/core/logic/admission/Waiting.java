package org.heatherhaven.core.logic.admission;

import java.time.Instant;

import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.logic.Hashes;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Signal;

/**
 * A call in the queue of a target.
 *
 * @param key names the offer
 * @param head the call
 * @param cohort cohort of its root request
 * @param arrivedAt when it was offered
 * @param deadline when its caller gives up
 */
public record Waiting(OfferKey key, CallHead head, int cohort, Instant arrivedAt, Instant deadline) {

    /**
     * Cohort of a root request; equal on every node, so that every hop sheds the same requests.
     *
     * @param rootId identifier of the root request
     * @return a cohort below {@link Signal#BUCKETS}
     */
    public static int cohortOf(String rootId) {
        return Hashes.bucket(rootId, Signal.BUCKETS);
    }

    boolean nested() {
        return head.depth() > 0 || head.team().isEmpty();
    }
}
