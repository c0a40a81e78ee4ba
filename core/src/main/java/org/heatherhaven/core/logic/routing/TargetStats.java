package org.heatherhaven.core.logic.routing;

import java.time.Instant;

/**
 * Statistics of an entry node about one target.
 *
 * @param inFlight number of calls from this node that are in flight at the target
 * @param load last load that its node reported, in thousandths of its limit
 * @param failures number of consecutive failures
 * @param avoidUntil time until which the target is avoided after failures
 * @param loadAt time when the load was reported
 */
public record TargetStats(int inFlight, int load, int failures, Instant avoidUntil, Instant loadAt) {

    TargetStats withInFlight(int next) {
        return new TargetStats(Math.max(0, next), load, failures, avoidUntil, loadAt);
    }

    TargetStats withLoad(int next, Instant at) {
        return new TargetStats(inFlight, next, failures, avoidUntil, at);
    }

    TargetStats withFailures(int next, Instant until) {
        return new TargetStats(inFlight, load, next, until, loadAt);
    }
}
