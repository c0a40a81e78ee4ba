package org.heatherhaven.core.effect;

import java.time.Instant;

/**
 * A decision and its inputs, as logged and shown to operators.
 *
 * @param requestId identifier of the request, or the subject of a control decision
 * @param at time of the decision
 * @param policyVersion policy version in force
 * @param rule rule that was applied
 * @param measure inputs of the decision
 * @param result outcome of the decision
 */
public record Decision(String requestId, Instant at, long policyVersion, String rule, String measure, String result) {}
