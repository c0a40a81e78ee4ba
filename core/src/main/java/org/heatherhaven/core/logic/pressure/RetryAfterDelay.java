package org.heatherhaven.core.logic.pressure;

import java.time.Duration;

import org.heatherhaven.core.model.Reason;

/**
 * When a caller may come back after a refusal that says that its request did not run.
 *
 * <p>Answers the wave of requests that were refused in the same moment: without a time they all come back at once, find
 * the same queue, and are refused again. They are spread, the wider the harder pressed the targets are.
 */
public final class RetryAfterDelay {

    private static final Duration QUEUE_DRAIN_TIME = Duration.ofMillis(100);
    private static final Duration PEAK_SPREAD = Duration.ofMillis(200);
    private static final Duration OVERLOAD_SPREAD = Duration.ofMillis(2_000);
    private static final Duration FLEET_RECOVERY_TIME = Duration.ofMillis(200);
    private static final Duration RECOVERY_SPREAD = Duration.ofMillis(500);
    private static final Duration PLATFORM_RECOVERY_TIME = Duration.ofMillis(1_000);

    private RetryAfterDelay() {}

    /**
     * The delay for a refusal.
     *
     * @param reason why the request was refused
     * @param pressure pressure behind its route, from 0 to {@link RoutePressure#FULL}
     * @param point where the request lies between 0 and 1
     * @return the delay, zero if coming back is of no use or need not wait
     */
    public static Duration of(Reason reason, int pressure, double point) {
        return switch (reason) {
            case QUEUE_FULL,
                    TOO_LATE,
                    SHED_AT_ENTRY,
                    SHED_AT_TARGET,
                    TARGET_OVERLOADED,
                    NODE_OVERLOADED,
                    REPEAT_LIMIT ->
                QUEUE_DRAIN_TIME
                        .plus(scaled(PEAK_SPREAD, point))
                        .plus(scaled(OVERLOAD_SPREAD, point * pressure / RoutePressure.FULL));
            case RATE,
                    NO_TARGET,
                    LINK_LOST,
                    TARGET_FAILED,
                    TARGET_REPLACED,
                    QUOTA_UNAVAILABLE,
                    LEDGER_UNAVAILABLE,
                    LEDGER_FULL,
                    POLICY_UNKNOWN -> FLEET_RECOVERY_TIME.plus(scaled(RECOVERY_SPREAD, point));
            case POLICY_STALE -> PLATFORM_RECOVERY_TIME.plus(scaled(RECOVERY_SPREAD, point));
            default -> Duration.ZERO;
        };
    }

    private static Duration scaled(Duration whole, double part) {
        return Duration.ofMillis(Math.round(whole.toMillis() * part));
    }
}
