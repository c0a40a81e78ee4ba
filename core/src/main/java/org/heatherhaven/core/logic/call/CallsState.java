package org.heatherhaven.core.logic.call;

import org.heatherhaven.core.logic.retry.RetryRatio;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The calls that entered at this node.
 *
 * @param calls calls under way, by number
 * @param ratio limits retries to a part of the calls
 */
public record CallsState(PMap<Long, EntryCall> calls, RetryRatio ratio) {

    /** The state of a node without calls. */
    public static final CallsState EMPTY = new CallsState(HashTreePMap.empty(), RetryRatio.START);

    public CallsState with(EntryCall call) {
        return new CallsState(calls.plus(call.info().call(), call), ratio);
    }

    public CallsState without(long call) {
        return new CallsState(calls.minus(call), ratio);
    }

    public CallsState withRatio(RetryRatio next) {
        return new CallsState(calls, next);
    }
}
