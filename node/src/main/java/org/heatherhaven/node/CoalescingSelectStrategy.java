package org.heatherhaven.node;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;

/**
 * Select strategy that delays the polls of a busy event loop, so that one poll finds several events.
 *
 * <p>This corresponds to the interrupt moderation of a network card: each wake-up has a fixed cost, which a loop pays
 * for every few bytes if it is woken for each of them. A loop that polls rarely is not delayed.
 */
final class CoalescingSelectStrategy implements SelectStrategy {

    /** A loop whose mean interval between polls is shorter than this is busy. */
    private static final Duration MAX_BUSY_INTERVAL = Duration.ofMillis(1);

    /** Weight of the latest interval in the mean. */
    private static final double SMOOTHING = 0.05;

    private final long delayNanos;
    private final LongSupplier nanoTime;
    private long lastPollAt;
    private double meanInterval = MAX_BUSY_INTERVAL.toNanos() * 2.0;

    CoalescingSelectStrategy(Duration delay, LongSupplier nanoTime) {
        this.delayNanos = delay.toNanos();
        this.nanoTime = nanoTime;
        this.lastPollAt = nanoTime.getAsLong();
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

    /**
     * Records a poll, and returns whether the loop is busy and a delay is configured. Delays do not count as part of
     * the interval between polls.
     */
    boolean recordPoll(long now) {
        long since = Math.min(now - lastPollAt, MAX_BUSY_INTERVAL.toNanos() * 10);
        meanInterval += SMOOTHING * (since - meanInterval);
        lastPollAt = now;
        return delayNanos > 0 && meanInterval < MAX_BUSY_INTERVAL.toNanos();
    }
}
