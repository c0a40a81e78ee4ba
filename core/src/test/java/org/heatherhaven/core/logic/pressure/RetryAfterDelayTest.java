package org.heatherhaven.core.logic.pressure;

import java.time.Duration;
import java.util.SplittableRandom;

import net.jqwik.api.Example;
import org.heatherhaven.core.model.Reason;

/** Checks that requests which a full queue refused at the same moment are retried spread over time, not all at once. */
class RetryAfterDelayTest {

    private static final int REFUSED = 2_000;
    private static final int SLICE_MILLIS = 100;
    private static final int SLICES = 40;

    private static void expect(boolean holds, String what) {
        if (!holds) {
            throw new AssertionError(what);
        }
    }

    /** Returns the number of refused requests that are retried in the busiest tenth of a second. */
    private static int busiestSlice(int pressure) {
        SplittableRandom random = new SplittableRandom(20261204);
        int[] slices = new int[SLICES];
        int busiest = 0;
        for (int request = 0; request < REFUSED; request++) {
            Duration delay = RetryAfterDelay.of(Reason.QUEUE_FULL, pressure, random.nextDouble());
            int slice = (int) (delay.toMillis() / SLICE_MILLIS);
            slices[slice]++;
            busiest = Math.max(busiest, slices[slice]);
        }
        return busiest;
    }

    @Example
    void underFullPressureNoTenthOfASecondGetsMoreThanATenthOfTheRetries() {
        expect(busiestSlice(RoutePressure.FULL) <= REFUSED / 10, "busiest " + busiestSlice(RoutePressure.FULL));
    }

    @Example
    void afterAShortPeakAllRetriesFollowWithinHalfASecond() {
        for (double position = 0; position < 1; position += 0.01) {
            Duration delay = RetryAfterDelay.of(Reason.QUEUE_FULL, 0, position);
            expect(delay.toMillis() >= 100 && delay.toMillis() <= 500, "retry after " + delay);
        }
    }

    @Example
    void aRefusalForAnUnknownKeyHasNoRetryDelay() {
        expect(RetryAfterDelay.of(Reason.KEY_UNKNOWN, 0, 0.5).isZero(), "a delay for an unknown key");
    }

    @Example
    void aRefusalByADrainingNodeHasNoRetryDelay() {
        expect(RetryAfterDelay.of(Reason.DRAINING, 0, 0.5).isZero(), "a delay where another node can take the call");
    }
}
