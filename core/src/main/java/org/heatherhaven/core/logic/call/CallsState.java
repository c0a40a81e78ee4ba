package org.heatherhaven.core.logic.call;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The calls that entered at this node.
 *
 * @param calls calls under way, by number
 */
public record CallsState(PMap<Long, EntryCall> calls) {

    /** The state of a node without calls. */
    public static final CallsState EMPTY = new CallsState(HashTreePMap.empty());

    public CallsState with(EntryCall call) {
        return new CallsState(calls.plus(call.info().call(), call));
    }

    public CallsState without(long call) {
        return new CallsState(calls.minus(call));
    }
}
