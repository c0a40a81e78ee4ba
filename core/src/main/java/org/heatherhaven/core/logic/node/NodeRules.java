package org.heatherhaven.core.logic.node;

import java.time.Duration;

import org.heatherhaven.core.logic.admission.AdmissionMode;
import org.heatherhaven.core.logic.idempotency.IdempotencyLogic.LedgerLimits;
import org.heatherhaven.core.logic.retry.RetryLimits;
import org.heatherhaven.core.logic.retry.RetryMode;
import org.heatherhaven.core.logic.routing.RoutingMode;

/**
 * Settings of a node's decision logic.
 *
 * @param admission how calls are admitted to the target
 * @param routing how targets are chosen
 * @param retry how calls are retried
 * @param quota how the teams' rates are divided
 * @param quotaSlack calls of a team beyond its rate and burst that the operators tolerate, over the whole fleet
 * @param retryLimits retry budget of each service, over the whole fleet
 * @param ledger sizes of the idempotency ledgers
 * @param maxCalls number of calls in progress at which new ones are refused
 * @param maxChildren largest number of calls that a target may make for one call
 * @param keyTrust when requests with keys are no longer accepted
 * @param drain grace period and limit of a planned stop
 * @param homeService service named as the origin of calls until the target reports one; empty if there is none
 * @param seed seed of the random choices
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
     * When requests with keys are no longer accepted, because a key may have been withdrawn unnoticed.
     *
     * @param maxConfirmationAge greatest age of the confirmation by the platform that the policy in force is the newest
     * @param peerContactSuffices true if a node in contact with peers still accepts keys beyond that age
     */
    public record KeyTrust(Duration maxConfirmationAge, boolean peerContactSuffices) {}

    /**
     * Durations of a planned stop.
     *
     * @param grace time from its start until new calls are refused, so that peers and callers are informed first
     * @param limit time from its start after which the node leaves although calls are in flight
     */
    public record DrainTimes(Duration grace, Duration limit) {}

    /**
     * Returns the default settings.
     *
     * @param seed seed of the random choices
     * @return the defaults
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
     * Copies these rules with other modes.
     *
     * @param nextAdmission how calls are admitted to the target
     * @param nextRouting how targets are chosen
     * @param nextRetry how calls are retried
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
     * @param nextRetryLimits retry budget of each service, over the whole fleet
     * @param nextKeyTrust when requests with keys are no longer accepted
     * @param nextDrain grace period and limit of a planned stop
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
     * Copies these rules with another division of the teams' rates.
     *
     * @param next how the rates are divided
     * @param nextSlack calls of a team beyond its rate and burst that the operators tolerate, over the whole fleet
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
