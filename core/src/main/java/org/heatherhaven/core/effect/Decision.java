package org.heatherhaven.core.effect;

import java.time.Instant;

/**
 * A decision with what it rested on.
 *
 * @param requestId the request, or the subject of a control decision
 * @param at when
 * @param policyVersion version in force
 * @param rule the rule that decided
 * @param measure the figures that it looked at
 * @param result what was decided
 */
public record Decision(String requestId, Instant at, long policyVersion, String rule, String measure, String result) {}
