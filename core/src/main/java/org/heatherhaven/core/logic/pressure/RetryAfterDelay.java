package org.heatherhaven.core.logic.pressure;

import java.time.Duration;

import org.heatherhaven.core.model.Reason;

/**
 * Delay after which a caller may retry a refused request that did not run.
 *
 * <p>Without a delay, requests that were refused at the same moment are all retried at once, find the same full queue
 * and are refused again. So the delays are spread over an interval that grows with the pressure behind the route.
 */
public final class RetryAfterDelay {

    /** Shortest delay after a refusal for lack of capacity. */
    private static final Duration QUEUE_DRAIN_TIME = Duration.ofMillis(100);
    /** Interval over which such retries are spread even without pressure, after a short peak. */
    private static final Duration PEAK_SPREAD = Duration.ofMillis(200);
    /** Interval added to {@link #PEAK_SPREAD} under full pressure. */
    private static final Duration OVERLOAD_SPREAD = Duration.ofMillis(2_000);
    /** Shortest delay after a refusal because a part of the fleet was unavailable, or a rate or ledger was full. */
    private static final Duration FLEET_RECOVERY_TIME = Duration.ofMillis(200);
    /** Interval over which retries are spread after {@link #FLEET_RECOVERY_TIME} or {@link #PLATFORM_RECOVERY_TIME}. */
    private static final Duration RECOVERY_SPREAD = Duration.ofMillis(500);
    /** Shortest delay after a refusal because the platform has not confirmed the policy. */
    private static final Duration PLATFORM_RECOVERY_TIME = Duration.ofMillis(1_000);

    private RetryAfterDelay() {}

    /**
     * Returns the retry-after delay for a refusal.
     *
     * @param reason why the request was refused
     * @param pressure pressure behind its route in thousandths, from 0 to {@link RoutePressure#FULL}
     * @param position position of the request within the spread, from 0 to 1
     * @return the delay, zero if a retry is useless or need not wait
     */
    public static Duration of(Reason reason, int pressure, double position) {
        return switch (reason) {
            case QUEUE_FULL,
                    TOO_LATE,
                    SHED_AT_ENTRY,
                    SHED_AT_TARGET,
                    TARGET_OVERLOADED,
                    NODE_OVERLOADED,
                    REPEAT_LIMIT ->
                QUEUE_DRAIN_TIME
                        .plus(scaled(PEAK_SPREAD, position))
                        .plus(scaled(OVERLOAD_SPREAD, position * pressure / RoutePressure.FULL));
            case RATE,
                    NO_TARGET,
                    LINK_LOST,
                    TARGET_FAILED,
                    TARGET_REPLACED,
                    QUOTA_UNAVAILABLE,
                    LEDGER_UNAVAILABLE,
                    LEDGER_FULL,
                    POLICY_UNKNOWN -> FLEET_RECOVERY_TIME.plus(scaled(RECOVERY_SPREAD, position));
            case POLICY_STALE -> PLATFORM_RECOVERY_TIME.plus(scaled(RECOVERY_SPREAD, position));
            default -> Duration.ZERO;
        };
    }

    private static Duration scaled(Duration whole, double fraction) {
        return Duration.ofMillis(Math.round(whole.toMillis() * fraction));
    }
}
