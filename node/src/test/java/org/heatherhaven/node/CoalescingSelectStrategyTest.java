package org.heatherhaven.node;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

import net.jqwik.api.Example;

/** Guards that only a busy event loop delays its polls. */
class CoalescingSelectStrategyTest {

    private static final int POLLS = 200;
    private final AtomicLong nanos = new AtomicLong();

    private boolean delayedAfterPollsEvery(Duration interval, Duration delay) {
        CoalescingSelectStrategy strategy = new CoalescingSelectStrategy(delay, nanos::get);
        boolean delayed = false;
        for (int poll = 0; poll < POLLS; poll++) {
            delayed = strategy.recordPoll(nanos.addAndGet(interval.toNanos()));
        }
        return delayed;
    }

    @Example
    void aBusyLoopIsDelayed() {
        if (!delayedAfterPollsEvery(Duration.ofNanos(200_000), Duration.ofMillis(1))) {
            throw new AssertionError("was not delayed");
        }
    }

    @Example
    void aQuietLoopIsNotDelayed() {
        if (delayedAfterPollsEvery(Duration.ofMillis(4), Duration.ofMillis(1))) {
            throw new AssertionError("was delayed");
        }
    }

    @Example
    void noLoopIsDelayedWithoutTheSetting() {
        if (delayedAfterPollsEvery(Duration.ofNanos(200_000), Duration.ZERO)) {
            throw new AssertionError("was delayed");
        }
    }
}
