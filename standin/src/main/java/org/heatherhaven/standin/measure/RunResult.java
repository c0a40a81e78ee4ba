package org.heatherhaven.standin.measure;

import java.util.Map;

import org.heatherhaven.standin.load.RequestLog;

/**
 * Figures of one run.
 *
 * @param strategy way of deciding
 * @param ordinaryPart part of the requests answered whole and in time under ordinary load
 * @param disturbedPart the same while disturbed
 * @param bottleneckPart requests through the bottleneck that were answered while disturbed, in parts of what it could
 *     complete, or of what was asked for if that is less
 * @param recoveryMillis time until at least 95% of requests were answered again; negative if that was not seen
 * @param worstTeamPart what the worst-served team got while disturbed, in parts of the smaller of its demand within
 *     its rate and its fair share
 * @param inRateRefusals refusals for lack of tokens, in parts of all requests
 * @param flowParts part of the requests of each flow answered while disturbed
 * @param keysRunTwice unrepeatable requests that ran more than once
 * @param keysSeen requests at targets that carried a caller's key
 * @param medianMillis median latency from the intended start
 * @param p99Millis latency that 99 in 100 stay below
 * @param endMillis when the last request was sent
 * @param refusals refusals by flow and reason, retried ones among them
 * @param log all counts
 */
public record RunResult(
        String strategy,
        double ordinaryPart,
        double disturbedPart,
        double bottleneckPart,
        long recoveryMillis,
        double worstTeamPart,
        double inRateRefusals,
        Map<String, Double> flowParts,
        long keysRunTwice,
        long keysSeen,
        double medianMillis,
        double p99Millis,
        long endMillis,
        Map<String, Long> refusals,
        RequestLog log) {}
