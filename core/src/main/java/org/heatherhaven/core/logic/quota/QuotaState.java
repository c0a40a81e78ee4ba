package org.heatherhaven.core.logic.quota;

import java.time.Instant;

import org.heatherhaven.core.model.RightId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Tokens that this node lends and borrows.
 *
 * @param buckets buckets of the shares that this node holds
 * @param tokenCaches borrowed tokens by team
 * @param ready calls that have got a token and go on
 * @param refused calls that have waited in vain
 * @param nextSeq number of the next question
 * @param nextDemandUpdateAt when demand is looked at next
 */
public record QuotaState(
        PMap<RightId, TokenBucket> buckets,
        PMap<String, TokenCache> tokenCaches,
        PVector<Long> ready,
        PVector<RefusedCall> refused,
        long nextSeq,
        Instant nextDemandUpdateAt) {

    /**
     * A call that has waited in vain.
     *
     * @param call number of the call
     * @param rateExceeded true if every share said that it has no tokens; false if some share could not be asked
     * @param retryAt when there may be tokens again
     */
    public record RefusedCall(long call, boolean rateExceeded, Instant retryAt) {}

    /**
     * The state of a node without tokens.
     *
     * @param now start of the node
     * @return the state
     */
    public static QuotaState start(Instant now) {
        return new QuotaState(
                HashTreePMap.empty(), HashTreePMap.empty(), TreePVector.empty(), TreePVector.empty(), 1, now);
    }

    /**
     * The state after the calls that are ready or refused were taken from it.
     *
     * @return the new state
     */
    public QuotaState withoutDecidedCalls() {
        return new QuotaState(
                buckets, tokenCaches, TreePVector.empty(), TreePVector.empty(), nextSeq, nextDemandUpdateAt);
    }

    QuotaState withBucket(RightId right, TokenBucket bucket) {
        return new QuotaState(buckets.plus(right, bucket), tokenCaches, ready, refused, nextSeq, nextDemandUpdateAt);
    }

    QuotaState withoutBucket(RightId right) {
        return new QuotaState(buckets.minus(right), tokenCaches, ready, refused, nextSeq, nextDemandUpdateAt);
    }

    QuotaState withTokenCache(String team, TokenCache wallet) {
        return new QuotaState(buckets, tokenCaches.plus(team, wallet), ready, refused, nextSeq, nextDemandUpdateAt);
    }

    QuotaState withoutTokenCache(String team) {
        return new QuotaState(buckets, tokenCaches.minus(team), ready, refused, nextSeq, nextDemandUpdateAt);
    }

    QuotaState withReady(long call) {
        return new QuotaState(buckets, tokenCaches, ready.plus(call), refused, nextSeq, nextDemandUpdateAt);
    }

    QuotaState withRefused(RefusedCall call) {
        return new QuotaState(buckets, tokenCaches, ready, refused.plus(call), nextSeq, nextDemandUpdateAt);
    }

    QuotaState withNextSeq(long next) {
        return new QuotaState(buckets, tokenCaches, ready, refused, next, nextDemandUpdateAt);
    }

    QuotaState withNextDemandUpdateAt(Instant next) {
        return new QuotaState(buckets, tokenCaches, ready, refused, nextSeq, next);
    }
}
