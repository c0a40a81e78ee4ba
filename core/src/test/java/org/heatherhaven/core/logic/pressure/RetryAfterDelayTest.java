package org.heatherhaven.core.logic.pressure;

import java.time.Duration;
import java.util.SplittableRandom;

import net.jqwik.api.Example;
import org.heatherhaven.core.model.Reason;

/** A wave of requests that a full queue refused in one moment comes back spread over what the target can take. */
class RetryAfterDelayTest {

    private static final int REFUSED = 2_000;
    private static final int SLICE_MILLIS = 100;
    private static final int SLICES = 40;

    private static void expect(boolean holds, String what) {
        if (!holds) {
            throw new AssertionError(what);
        }
    }

    /** Requests of the wave that come back in the busiest tenth of a second. */
    private static int busiestSlice(int pressure) {
        SplittableRandom random = new SplittableRandom(20261204);
        int[] slices = new int[SLICES];
        int most = 0;
        for (int request = 0; request < REFUSED; request++) {
            Duration delay = RetryAfterDelay.of(Reason.QUEUE_FULL, pressure, random.nextDouble());
            int slice = (int) (delay.toMillis() / SLICE_MILLIS);
            slices[slice]++;
            most = Math.max(most, slices[slice]);
        }
        return most;
    }

    @Example
    void underFullPressureNoTenthOfASecondGetsMoreThanATenthOfTheWave() {
        expect(busiestSlice(RoutePressure.FULL) <= REFUSED / 10, "busiest " + busiestSlice(RoutePressure.FULL));
    }

    @Example
    void afterAShortPeakAllAreBackWithinHalfASecond() {
        for (double point = 0; point < 1; point += 0.01) {
            Duration delay = RetryAfterDelay.of(Reason.QUEUE_FULL, 0, point);
            expect(delay.toMillis() >= 100 && delay.toMillis() <= 500, "back after " + delay);
        }
    }

    @Example
    void nobodyIsToldToComeBackWithAKeyThatIsUnknown() {
        expect(RetryAfterDelay.of(Reason.KEY_UNKNOWN, 0, 0.5).isZero(), "a time for an unknown key");
    }

    @Example
    void aNodeThatLeavesSendsItsCallersElsewhereAtOnce() {
        expect(RetryAfterDelay.of(Reason.DRAINING, 0, 0.5).isZero(), "a delay where another node can take the call");
    }
}
