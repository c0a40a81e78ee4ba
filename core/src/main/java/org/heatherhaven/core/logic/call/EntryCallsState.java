package org.heatherhaven.core.logic.call;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The calls that entered at this node.
 *
 * @param byNumber calls under way, by number
 */
public record EntryCallsState(PMap<Long, EntryCall> byNumber) {

    /** The state of a node without calls. */
    public static final EntryCallsState EMPTY = new EntryCallsState(HashTreePMap.empty());

    public EntryCallsState with(EntryCall call) {
        return new EntryCallsState(byNumber.plus(call.info().number(), call));
    }

    public EntryCallsState without(long call) {
        return new EntryCallsState(byNumber.minus(call));
    }
}
