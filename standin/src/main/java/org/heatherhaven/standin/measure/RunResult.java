package org.heatherhaven.standin.measure;

import java.util.Map;

import org.heatherhaven.standin.load.RequestStatistics;

/**
 * Figures of one run.
 *
 * @param strategy way of deciding
 * @param ordinaryFraction part of the requests answered whole and in time under ordinary load
 * @param disturbedFraction the same while disturbed
 * @param bottleneckFraction requests through the bottleneck that were answered while disturbed, in parts of what it could
 *     complete, or of what was asked for if that is less
 * @param recoveryMillis time until at least 95% of requests were answered again; negative if that was not seen
 * @param worstTeamFraction what the worst-served team got while disturbed, in parts of the smaller of its demand within
 *     its rate and its fair share
 * @param inRateRefusalFraction refusals for lack of tokens, in parts of all requests
 * @param flowFractions part of the requests of each flow answered while disturbed
 * @param keysRunTwice unrepeatable requests that ran more than once
 * @param requestsWithCallerKey requests at targets that carried a caller's key
 * @param medianMillis median latency from the intended start
 * @param p99Millis latency that 99 in 100 stay below
 * @param endMillis when the last request was sent
 * @param refusals refusals by flow and reason, retried ones among them
 * @param statistics all counts
 */
public record RunResult(
        String strategy,
        double ordinaryFraction,
        double disturbedFraction,
        double bottleneckFraction,
        long recoveryMillis,
        double worstTeamFraction,
        double inRateRefusalFraction,
        Map<String, Double> flowFractions,
        long keysRunTwice,
        long requestsWithCallerKey,
        double medianMillis,
        double p99Millis,
        long endMillis,
        Map<String, Long> refusals,
        RequestStatistics statistics) {}
