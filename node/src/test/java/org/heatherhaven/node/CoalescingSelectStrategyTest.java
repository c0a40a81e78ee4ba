package org.heatherhaven.node;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

import net.jqwik.api.Example;

/** Only a loop that is woken all the time rests. */
class CoalescingSelectStrategyTest {

    private static final int POLLS = 200;
    private final AtomicLong nanos = new AtomicLong();

    private boolean restsAfterLooksEvery(Duration interval, Duration rest) {
        CoalescingSelectStrategy coalescing = new CoalescingSelectStrategy(rest, nanos::get);
        boolean rests = false;
        for (int look = 0; look < POLLS; look++) {
            rests = coalescing.recordPoll(nanos.addAndGet(interval.toNanos()));
        }
        return rests;
    }

    @Example
    void aBusyLoopRests() {
        if (!restsAfterLooksEvery(Duration.ofNanos(200_000), Duration.ofMillis(1))) {
            throw new AssertionError("did not rest");
        }
    }

    @Example
    void aQuietLoopDoesNot() {
        if (restsAfterLooksEvery(Duration.ofMillis(4), Duration.ofMillis(1))) {
            throw new AssertionError("rested");
        }
    }

    @Example
    void withoutTheSettingNoLoopRests() {
        if (restsAfterLooksEvery(Duration.ofNanos(200_000), Duration.ZERO)) {
            throw new AssertionError("rested");
        }
    }
}
