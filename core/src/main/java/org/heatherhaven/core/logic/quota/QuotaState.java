package org.heatherhaven.core.logic.quota;

import java.time.Instant;

import org.heatherhaven.core.model.LeaseId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The tokens that this node lends and borrows.
 *
 * @param buckets token buckets of the shares that this node holds
 * @param tokenCaches borrowed tokens and pending calls by team
 * @param ready calls that have received a token, until {@link #withoutDecidedCalls} removes them
 * @param refused calls that did not receive a token, until {@link #withoutDecidedCalls} removes them
 * @param nextSeq number of the next loan request
 * @param nextDemandUpdateAt time of the next measurement of the teams' demand
 */
public record QuotaState(
        PMap<LeaseId, TokenBucket> buckets,
        PMap<String, TokenCache> tokenCaches,
        PVector<Long> ready,
        PVector<RefusedCall> refused,
        long nextSeq,
        Instant nextDemandUpdateAt) {

    /**
     * A call that is refused because it received no token.
     *
     * @param call number of the call
     * @param rateExceeded true if the owners responded and lent too few tokens; false if some owner did not respond
     * @param retryAt earliest time at which a token may be available
     */
    public record RefusedCall(long call, boolean rateExceeded, Instant retryAt) {}

    /**
     * Returns the state of a node without tokens.
     *
     * @param now start of the node
     * @return the initial state
     */
    public static QuotaState start(Instant now) {
        return new QuotaState(
                HashTreePMap.empty(), HashTreePMap.empty(), TreePVector.empty(), TreePVector.empty(), 1, now);
    }

    /**
     * Returns the state without the calls that are ready or refused.
     *
     * @return the new state
     */
    public QuotaState withoutDecidedCalls() {
        return new QuotaState(
                buckets, tokenCaches, TreePVector.empty(), TreePVector.empty(), nextSeq, nextDemandUpdateAt);
    }

    QuotaState withBucket(LeaseId share, TokenBucket bucket) {
        return new QuotaState(buckets.plus(share, bucket), tokenCaches, ready, refused, nextSeq, nextDemandUpdateAt);
    }

    QuotaState withoutBucket(LeaseId share) {
        return new QuotaState(buckets.minus(share), tokenCaches, ready, refused, nextSeq, nextDemandUpdateAt);
    }

    QuotaState withTokenCache(String team, TokenCache cache) {
        return new QuotaState(buckets, tokenCaches.plus(team, cache), ready, refused, nextSeq, nextDemandUpdateAt);
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
