package org.heatherhaven.core.logic.routing;

import java.time.Instant;

/**
 * What an entry node has seen of one target.
 *
 * @param inFlight calls of this node under way there
 * @param load load that its node reported last, in thousandths of its limit
 * @param failures failures in a row
 * @param avoidUntil when it is considered again after failures
 * @param loadAt when it reported that load
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
