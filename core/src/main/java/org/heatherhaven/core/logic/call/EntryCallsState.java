package org.heatherhaven.core.logic.call;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The calls in progress that entered the fleet at this node.
 *
 * @param byNumber calls by their number
 */
public record EntryCallsState(PMap<Long, EntryCall> byNumber) {

    /** The state of a node without calls. */
    public static final EntryCallsState EMPTY = new EntryCallsState(HashTreePMap.empty());

    /**
     * Adds a call, or replaces its state.
     *
     * @param call the call
     * @return the new state
     */
    public EntryCallsState with(EntryCall call) {
        return new EntryCallsState(byNumber.plus(call.info().number(), call));
    }

    /**
     * Removes a call.
     *
     * @param call number of the call
     * @return the new state
     */
    public EntryCallsState without(long call) {
        return new EntryCallsState(byNumber.minus(call));
    }
}
