package org.heatherhaven.standin.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * A service of a deployment.
 *
 * @param name name of the service
 * @param targets number of targets, assigned to the zones in turn
 * @param slots calls that each target works on at a time
 * @param connections connections that each target accepts
 * @param meanWorkTime mean time that a target works on a call, without its nested calls
 * @param nestedCalls paths of the nested calls, by path prefix of the request
 */
public record ServiceSpec(
        String name,
        int targets,
        int slots,
        int connections,
        Duration meanWorkTime,
        Map<String, List<String>> nestedCalls) {

    /**
     * Returns the maximum rate at which all targets together complete calls.
     *
     * @return calls per second
     */
    public double capacity() {
        return targets * slots * 1e9 / meanWorkTime.toNanos();
    }
}
