package org.heatherhaven.core.logic.node;

import java.time.Duration;

import org.heatherhaven.core.logic.admission.AdmissionMode;
import org.heatherhaven.core.logic.once.OnceLogic.LedgerLimits;
import org.heatherhaven.core.logic.retry.RetryMode;
import org.heatherhaven.core.logic.routing.RoutingMode;

/**
 * Settings of a node's decisions.
 *
 * @param admission way of guarding the target
 * @param routing way of choosing targets
 * @param retry way of retrying
 * @param ledger sizes of the idempotency ledgers
 * @param maxCalls calls under way at which new ones are refused
 * @param maxChildren calls that a target may make for one request
 * @param isolationLimit silence of all peers and the platform after which keys are no longer trusted
 * @param drainGrace time from the start of a drain until new calls are refused, so that peers hear of it first
 * @param drainLimit time after which a draining node leaves with work unfinished
 * @param seed start of the random choices
 */
public record NodeRules(
        AdmissionMode admission,
        RoutingMode routing,
        RetryMode retry,
        LedgerLimits ledger,
        int maxCalls,
        int maxChildren,
        Duration isolationLimit,
        Duration drainGrace,
        Duration drainLimit,
        long seed) {

    private static final Duration LEDGER_MEMORY = Duration.ofMinutes(5);
    private static final int LEDGER_KEYS = 20_000;
    private static final int MAX_CALLS = 10_000;
    private static final int MAX_CHILDREN = 100;
    private static final Duration ISOLATION_LIMIT = Duration.ofSeconds(4);
    private static final Duration DRAIN_GRACE = Duration.ofMillis(1_500);
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(30);

    /**
     * The defaults.
     *
     * @param seed start of the random choices
     * @return rules for production
     */
    public static NodeRules defaults(long seed) {
        return new NodeRules(
                AdmissionMode.FAIR_SHED,
                RoutingMode.TWO_CHOICES,
                RetryMode.BUDGET,
                new LedgerLimits(LEDGER_MEMORY, LEDGER_KEYS),
                MAX_CALLS,
                MAX_CHILDREN,
                ISOLATION_LIMIT,
                DRAIN_GRACE,
                DRAIN_LIMIT,
                seed);
    }

    /**
     * Copies these rules with other ways of deciding.
     *
     * @param nextAdmission way of guarding the target
     * @param nextRouting way of choosing targets
     * @param nextRetry way of retrying
     * @return the changed rules
     */
    public NodeRules withModes(AdmissionMode nextAdmission, RoutingMode nextRouting, RetryMode nextRetry) {
        return new NodeRules(
                nextAdmission,
                nextRouting,
                nextRetry,
                ledger,
                maxCalls,
                maxChildren,
                isolationLimit,
                drainGrace,
                drainLimit,
                seed);
    }

    /**
     * Copies these rules with other limits of the idempotency ledgers.
     *
     * @param next the limits
     * @return the changed rules
     */
    public NodeRules withLedger(LedgerLimits next) {
        return new NodeRules(
                admission, routing, retry, next, maxCalls, maxChildren, isolationLimit, drainGrace, drainLimit, seed);
    }
}
