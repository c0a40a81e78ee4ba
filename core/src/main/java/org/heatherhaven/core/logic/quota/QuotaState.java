package org.heatherhaven.core.logic.quota;

import java.time.Instant;

import org.heatherhaven.core.model.LeaseId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Tokens that this node lends and borrows.
 *
 * @param buckets buckets of the shares that this node holds
 * @param wallets borrowed tokens by team
 * @param ready calls that have got a token and go on
 * @param refused calls that have waited in vain
 * @param nextSeq number of the next question
 * @param nextLookAt when demand is looked at next
 */
public record QuotaState(
        PMap<LeaseId, Bucket> buckets,
        PMap<String, Wallet> wallets,
        PVector<Long> ready,
        PVector<DeniedCall> refused,
        long nextSeq,
        Instant nextLookAt) {

    /**
     * A call that has waited in vain.
     *
     * @param call number of the call
     * @param denied true if every share said that it has no tokens; false if some share could not be asked
     * @param retryAt when there may be tokens again
     */
    public record DeniedCall(long call, boolean denied, Instant retryAt) {}

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
    public QuotaState drained() {
        return new QuotaState(buckets, wallets, TreePVector.empty(), TreePVector.empty(), nextSeq, nextLookAt);
    }

    QuotaState withBucket(LeaseId right, Bucket bucket) {
        return new QuotaState(buckets.plus(right, bucket), wallets, ready, refused, nextSeq, nextLookAt);
    }

    QuotaState withoutBucket(LeaseId right) {
        return new QuotaState(buckets.minus(right), wallets, ready, refused, nextSeq, nextLookAt);
    }

    QuotaState withWallet(String team, Wallet wallet) {
        return new QuotaState(buckets, wallets.plus(team, wallet), ready, refused, nextSeq, nextLookAt);
    }

    QuotaState withoutWallet(String team) {
        return new QuotaState(buckets, wallets.minus(team), ready, refused, nextSeq, nextLookAt);
    }

    QuotaState withReady(long call) {
        return new QuotaState(buckets, wallets, ready.plus(call), refused, nextSeq, nextLookAt);
    }

    QuotaState withRefused(DeniedCall call) {
        return new QuotaState(buckets, wallets, ready, refused.plus(call), nextSeq, nextLookAt);
    }

    QuotaState withNextSeq(long next) {
        return new QuotaState(buckets, wallets, ready, refused, next, nextLookAt);
    }

    QuotaState withNextLookAt(Instant next) {
        return new QuotaState(buckets, wallets, ready, refused, nextSeq, next);
    }
}
