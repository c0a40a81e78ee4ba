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
final class Coalescing implements SelectStrategy {

    /** A loop that looks more often than this is busy. */
    private static final Duration BUSY_INTERVAL = Duration.ofMillis(1);

    private static final double SMOOTHING = 0.05;

    private final long restNanos;
    private final LongSupplier nanos;
    private long lastLook;
    private double interval = BUSY_INTERVAL.toNanos() * 2.0;

    Coalescing(Duration rest, LongSupplier nanos) {
        this.restNanos = rest.toNanos();
        this.nanos = nanos;
        this.lastLook = nanos.getAsLong();
    }

    @Override
    public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
        if (hasTasks) {
            return selectNow.get();
        }
        if (looked(nanos.getAsLong())) {
            LockSupport.parkNanos(this, restNanos);
            lastLook = nanos.getAsLong();
        }
        return SelectStrategy.SELECT;
    }

    /** Notes a look, and tells whether the loop is busy; the rests between looks do not count. */
    boolean looked(long now) {
        long since = Math.min(now - lastLook, BUSY_INTERVAL.toNanos() * 10);
        interval += SMOOTHING * (since - interval);
        lastLook = now;
        return restNanos > 0 && interval < BUSY_INTERVAL.toNanos();
    }
}
