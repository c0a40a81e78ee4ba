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
 * @param keep fewest cohorts that any of those calls reported, of {@link Signal#BUCKETS}
 * @param children number of calls that the target made for it
 */
public record Running(Waiting call, String context, Instant startedAt, int retries, int keep, int children) {

    Running withRetries(int next) {
        return new Running(call, context, startedAt, next, keep, children);
    }

    Running withKeep(int next) {
        return new Running(call, context, startedAt, retries, next, children);
    }

    Running withChildren(int next) {
        return new Running(call, context, startedAt, retries, keep, next);
    }
}
