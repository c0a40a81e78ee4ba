package org.heatherhaven.core.logic.node;

import java.time.Duration;

import org.heatherhaven.core.logic.admission.AdmissionMode;
import org.heatherhaven.core.logic.once.OnceLogic.LedgerLimits;
import org.heatherhaven.core.logic.retry.RetryLimits;
import org.heatherhaven.core.logic.retry.RetryMode;
import org.heatherhaven.core.logic.routing.RoutingMode;

/**
 * Settings of a node's decisions.
 *
 * @param admission way of guarding the target
 * @param routing way of choosing targets
 * @param retry way of retrying
 * @param quota way of dividing the teams' rates
 * @param quotaSlack calls of a team beyond its rate and burst that the operators tolerate over the whole fleet
 * @param retryLimits this node's part of each service's retry budget
 * @param ledger sizes of the idempotency ledgers
 * @param maxCalls calls under way at which new ones are refused
 * @param maxChildren calls that a target may make for one request
 * @param keyTrust when keys are no longer trusted
 * @param drain times of a planned stop
 * @param homeService service named as the origin of calls until the target reports one; empty if there is none
 * @param seed start of the random choices
 */
public record NodeRules(
        AdmissionMode admission,
        RoutingMode routing,
        RetryMode retry,
        QuotaMode quota,
        double quotaSlack,
        RetryLimits retryLimits,
        LedgerLimits ledger,
        int maxCalls,
        int maxChildren,
        KeyTrust keyTrust,
        DrainTimes drain,
        String homeService,
        long seed) {

    private static final Duration LEDGER_MEMORY = Duration.ofMinutes(5);
    private static final int LEDGER_KEYS = 20_000;
    private static final int MAX_CALLS = 10_000;
    private static final int MAX_CHILDREN = 100;
    private static final Duration ISOLATION_LIMIT = Duration.ofSeconds(4);
    private static final Duration DRAIN_GRACE = Duration.ofMillis(1_500);
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(30);

    /**
     * When keys are no longer trusted, because one may have been withdrawn unnoticed.
     *
     * @param maxConfirmationAge age of the platform's word that the policy in force is the newest
     * @param peerContactSuffices true if a node that still hears peers goes on beyond the limit
     */
    public record KeyTrust(Duration maxConfirmationAge, boolean peerContactSuffices) {}

    /**
     * Times of a planned stop.
     *
     * @param grace time from its start until new calls are refused, so that peers and callers hear of it first
     * @param maxConfirmationAge time after which the node leaves with work unfinished
     */
    public record DrainTimes(Duration grace, Duration limit) {}

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
                QuotaMode.PLACED,
                0,
                RetryLimits.DEFAULT,
                new LedgerLimits(LEDGER_MEMORY, LEDGER_KEYS),
                MAX_CALLS,
                MAX_CHILDREN,
                new KeyTrust(ISOLATION_LIMIT, true),
                new DrainTimes(DRAIN_GRACE, DRAIN_LIMIT),
                "",
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
                quota,
                quotaSlack,
                retryLimits,
                ledger,
                maxCalls,
                maxChildren,
                keyTrust,
                drain,
                homeService,
                seed);
    }

    /**
     * Copies these rules with other limits of the idempotency ledgers.
     *
     * @param next limits
     * @return the changed rules
     */
    public NodeRules withLedger(LedgerLimits next) {
        return new NodeRules(
                admission,
                routing,
                retry,
                quota,
                quotaSlack,
                retryLimits,
                next,
                maxCalls,
                maxChildren,
                keyTrust,
                drain,
                homeService,
                seed);
    }

    /**
     * Copies these rules with other limits of retries, keys and planned stops.
     *
     * @param nextRetryLimits this node's part of each service's retry budget
     * @param nextKeyTrust when keys are no longer trusted
     * @param nextDrain times of a planned stop
     * @return the changed rules
     */
    public NodeRules withLimits(RetryLimits nextRetryLimits, KeyTrust nextKeyTrust, DrainTimes nextDrain) {
        return new NodeRules(
                admission,
                routing,
                retry,
                quota,
                quotaSlack,
                nextRetryLimits,
                ledger,
                maxCalls,
                maxChildren,
                nextKeyTrust,
                nextDrain,
                homeService,
                seed);
    }

    /**
     * Copies these rules with another home service.
     *
     * @param next service named as the origin of calls until the target reports one
     * @return the changed rules
     */
    public NodeRules withHomeService(String next) {
        return new NodeRules(
                admission,
                routing,
                retry,
                quota,
                quotaSlack,
                retryLimits,
                ledger,
                maxCalls,
                maxChildren,
                keyTrust,
                drain,
                next,
                seed);
    }

    /**
     * Copies these rules with another way of dividing the teams' rates.
     *
     * @param next the way
     * @param nextSlack calls beyond a team's rate and burst that the operators tolerate
     * @return the changed rules
     */
    public NodeRules withQuota(QuotaMode next, double nextSlack) {
        return new NodeRules(
                admission,
                routing,
                retry,
                next,
                nextSlack,
                retryLimits,
                ledger,
                maxCalls,
                maxChildren,
                keyTrust,
                drain,
                homeService,
                seed);
    }
}
