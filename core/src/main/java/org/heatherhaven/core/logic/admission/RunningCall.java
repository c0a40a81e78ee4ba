package org.heatherhaven.core.logic.admission;

import java.time.Instant;

import org.heatherhaven.core.model.Signal;

/**
 * A call that runs at the target.
 *
 * @param call the admitted call
 * @param context context id given to the target, which it presents with the calls that it makes
 * @param startedAt time when it was passed to the target
 * @param retries number of retries left for child calls, the calls that the target makes for it
 * @param childThreshold lowest admission threshold reported with a child call, of {@link Signal#BUCKETS} hash buckets
 * @param children number of child calls so far
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
