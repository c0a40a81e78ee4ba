package org.heatherhaven.standin.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * A service of a deployment.
 *
 * @param name its name
 * @param targets number of its targets, one a zone
 * @param slots slots of each target
 * @param connections connections that each target accepts
 * @param meanWorkTime mean time of work for a call
 * @param nestedCalls paths that it calls, by path prefix of the request
 */
public record ServiceSpec(
        String name,
        int targets,
        int slots,
        int connections,
        Duration meanWorkTime,
        Map<String, List<String>> nestedCalls) {

    /**
     * Calls a second that all targets together finish.
     *
     * @return calls a second
     */
    public double capacity() {
        return targets * slots * 1e9 / meanWorkTime.toNanos();
    }
}
