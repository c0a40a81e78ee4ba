package org.heatherhaven.core.logic.pressure;

import java.time.Duration;

import org.heatherhaven.core.model.Reason;

/**
 * When a caller may come back after a refusal that says that its request did not run.
 *
 * <p>Answers the wave of requests that were refused in the same moment: without a time they all come back at once, find
 * the same queue, and are refused again. They are spread, the wider the harder pressed the targets are.
 */
public final class ReturnTime {

    private static final Duration QUEUE_DRAINS = Duration.ofMillis(100);
    private static final Duration SPREAD_OF_A_PEAK = Duration.ofMillis(200);
    private static final Duration SPREAD_OF_AN_OVERLOAD = Duration.ofMillis(2_000);
    private static final Duration FLEET_RECOVERS = Duration.ofMillis(200);
    private static final Duration SPREAD_OF_A_RECOVERY = Duration.ofMillis(500);
    private static final Duration PLATFORM_IS_HEARD_AGAIN = Duration.ofMillis(1_000);

    private ReturnTime() {}

    /**
     * The delay for a refusal.
     *
     * @param reason why the request was refused
     * @param pressure pressure behind its route, from 0 to {@link RoutePressure#FULL}
     * @param point where the request lies between 0 and 1
     * @return the delay, zero if coming back is of no use or need not wait
     */
    public static Duration after(Reason reason, int pressure, double point) {
        return switch (reason) {
            case QUEUE_FULL,
                    TOO_LATE,
                    SHED_AT_ENTRY,
                    SHED_AT_TARGET,
                    TARGET_OVERLOADED,
                    NODE_OVERLOADED,
                    REPEAT_LIMIT ->
                QUEUE_DRAINS
                        .plus(part(SPREAD_OF_A_PEAK, point))
                        .plus(part(SPREAD_OF_AN_OVERLOAD, point * pressure / RoutePressure.FULL));
            case RATE,
                    NO_TARGET,
                    LINK_LOST,
                    TARGET_FAILED,
                    TARGET_REPLACED,
                    QUOTA_UNAVAILABLE,
                    LEDGER_UNAVAILABLE,
                    LEDGER_FULL,
                    POLICY_UNKNOWN -> FLEET_RECOVERS.plus(part(SPREAD_OF_A_RECOVERY, point));
            case POLICY_STALE -> PLATFORM_IS_HEARD_AGAIN.plus(part(SPREAD_OF_A_RECOVERY, point));
            default -> Duration.ZERO;
        };
    }

    private static Duration part(Duration whole, double part) {
        return Duration.ofMillis(Math.round(whole.toMillis() * part));
    }
}
