package org.heatherhaven.core.logic.admission;

import java.time.Instant;

import org.heatherhaven.core.model.Signal;

/**
 * A call that the target works on.
 *
 * @param call the call as it was admitted
 * @param context context id given to the target
 * @param startedAt when it was handed to the target
 * @param retries retry budget left for calls that the target makes for it
 * @param childThreshold fewest cohorts that any of those calls reported, of {@link Signal#COHORTS}
 * @param children number of calls that the target made for it
 */
public record RunningCall(
        QueuedCall call, String context, Instant startedAt, int retries, int childThreshold, int children) {

    RunningCall withRetries(int next) {
        return new RunningCall(call, context, startedAt, next, childThreshold, children);
    }

    RunningCall withChildThreshold(int next) {
        return new RunningCall(call, context, startedAt, retries, next, children);
    }

    RunningCall withChildren(int next) {
        return new RunningCall(call, context, startedAt, retries, childThreshold, next);
    }
}
