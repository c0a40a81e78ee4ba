package org.heatherhaven.standin.target;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * What a target does.
 *
 * @param service its service
 * @param slots number of calls it works on at a time; others wait in order of arrival
 * @param meanWorkTime mean time of work for a call, without the calls that it makes
 * @param nestedCalls paths that it calls for each request, one after another, by path prefix of the request
 */
public record TargetBehavior(String service, int slots, Duration meanWorkTime, Map<String, List<String>> nestedCalls) {}
