package org.heatherhaven.standin.target;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * Configured behavior of a stand-in target.
 *
 * @param service name of its service
 * @param slots number of calls that it works on at a time; other calls queue in order of arrival
 * @param meanWorkTime mean time that it works on a call, without its nested calls
 * @param nestedCalls paths of the nested calls for a request, made one after another, by path prefix of the request
 */
public record TargetBehavior(String service, int slots, Duration meanWorkTime, Map<String, List<String>> nestedCalls) {}
