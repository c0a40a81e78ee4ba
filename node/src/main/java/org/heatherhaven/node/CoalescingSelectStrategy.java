package org.heatherhaven.node;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;

/**
 * Lets a busy event loop rest for a moment before it looks for what has arrived, so that one look finds several things.
 *
 * <p>The same as the interrupt moderation of a network card: each wake-up has a price of its own, which a loop that is
 * woken for every few bytes pays all the time. A loop that is woken rarely does not rest.
 */
final class CoalescingSelectStrategy implements SelectStrategy {

    /** A loop that looks more often than this is busy. */
    private static final Duration MAX_BUSY_INTERVAL = Duration.ofMillis(1);

    private static final double SMOOTHING = 0.05;

    private final long delayNanos;
    private final LongSupplier nanoTime;
    private long lastPollAt;
    private double meanInterval = MAX_BUSY_INTERVAL.toNanos() * 2.0;

    CoalescingSelectStrategy(Duration rest, LongSupplier nanos) {
        this.delayNanos = rest.toNanos();
        this.nanoTime = nanos;
        this.lastPollAt = nanos.getAsLong();
    }

    @Override
    public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
        if (hasTasks) {
            return selectNow.get();
        }
        if (recordPoll(nanoTime.getAsLong())) {
            LockSupport.parkNanos(this, delayNanos);
            lastPollAt = nanoTime.getAsLong();
        }
        return SelectStrategy.SELECT;
    }

    /** Notes a look, and tells whether the loop is busy; the rests between looks do not count. */
    boolean recordPoll(long now) {
        long since = Math.min(now - lastPollAt, MAX_BUSY_INTERVAL.toNanos() * 10);
        meanInterval += SMOOTHING * (since - meanInterval);
        lastPollAt = now;
        return delayNanos > 0 && meanInterval < MAX_BUSY_INTERVAL.toNanos();
    }
}
