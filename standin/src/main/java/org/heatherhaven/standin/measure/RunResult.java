package org.heatherhaven.standin.measure;

import java.util.Map;

import org.heatherhaven.standin.load.RequestStatistics;

/**
 * Figures of one run.
 *
 * @param strategy label of the strategy
 * @param ordinaryFraction fraction of the requests with a complete response in time under ordinary load
 * @param disturbedFraction the same fraction during the disturbance
 * @param bottleneckFraction successful requests through the bottleneck during the disturbance, as a fraction of its
 *     remaining capacity, or of the offered requests if they were fewer
 * @param recoveryMillis time until at least 95% of the requests succeeded in a window of 500 ms; negative if that did
 *     not happen
 * @param worstTeamFraction lowest goodput of any team during the disturbance, as a fraction of its demand within its
 *     rate, or of its fair share if that is less
 * @param inRateRefusalFraction refusals for lack of quota tokens, as a fraction of all requests
 * @param flowFractions fraction of the requests of each flow that succeeded during the disturbance
 * @param keysRunTwice number of unrepeatable requests that ran more than once
 * @param requestsWithCallerKey number of requests at targets that carried the API key of a caller
 * @param medianMillis median latency of successful requests from their intended start, milliseconds
 * @param p99Millis 99th percentile of the same latency, milliseconds
 * @param endMillis time at which the last request was sent, since the load generator was created
 * @param refusals failed attempts by flow and reason, including attempts that were retried
 * @param statistics counts and latencies of all requests
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
