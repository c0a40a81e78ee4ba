package org.heatherhaven.core.logic.admission;

import java.util.Optional;

import org.heatherhaven.core.model.Signal;

/** Relates calls that the target makes to the running calls that it makes them for. */
public final class NestedCalls {

    private NestedCalls() {}

    /**
     * Finds a running call by the context id given to the target.
     *
     * @param state the current admission state
     * @param context context id given to the target
     * @return the call, absent if it is no longer running
     */
    public static Optional<RunningCall> findByContext(AdmissionState state, String context) {
        return Optional.ofNullable(state.contexts().get(context))
                .map(key -> state.running().get(key));
    }

    /**
     * Transfers part of a running call's retry budget to a child call.
     *
     * @param state the current admission state
     * @param parent the running call that makes the child call
     * @param retries number of retries that the child call receives
     * @return the new state
     */
    public static AdmissionState lendRetries(AdmissionState state, RunningCall parent, int retries) {
        RunningCall next = parent.withRetries(parent.retries() - retries).withChildren(parent.children() + 1);
        return state.withRunning(state.running().plus(parent.call().key(), next));
    }

    /**
     * Handles the end of a child call: returns its unspent retries to the parent and lowers the parent's threshold to
     * the one reported for the child.
     *
     * @param state the current admission state
     * @param context context id of the parent call
     * @param retries number of retries that the child call did not use
     * @param threshold admission threshold reported with the child call, of {@link Signal#BUCKETS} hash buckets
     * @return the new state, unchanged if the parent has ended
     */
    public static AdmissionState childEnded(AdmissionState state, String context, int retries, int threshold) {
        return findByContext(state, context)
                .map(parent -> parent.withRetries(parent.retries() + retries)
                        .withChildThreshold(Math.min(parent.childThreshold(), threshold)))
                .map(parent ->
                        state.withRunning(state.running().plus(parent.call().key(), parent)))
                .orElse(state);
    }
}
