package org.heatherhaven.node.control;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.LongSupplier;

/**
 * A clock that never goes back and takes no part in jumps of the time of day.
 *
 * <p>A suspended machine may stop the monotonic clock, and then only the time of day has gone on. Whether it did, or was
 * set by somebody, can't be told apart; {@link #takeWallClockJump} reports it, so that whatever must not be trusted for too long
 * can be doubted, while deadlines go by the time in which this process could work.
 */
public final class SteadyClock implements InstantSource {

    /** Smaller differences come from slewing and from reading the two clocks one after the other. */
    private static final Duration MIN_JUMP = Duration.ofMillis(300);

    private final InstantSource wall;
    private final LongSupplier nanos;
    private final Instant start;
    private final long startNanos;
    private Instant lastWall;
    private long lastNanos;

    /** A clock on the machine's own clocks. */
    public SteadyClock() {
        this(InstantSource.system(), System::nanoTime);
    }

    SteadyClock(InstantSource wall, LongSupplier nanos) {
        this.wall = wall;
        this.nanos = nanos;
        this.start = wall.instant();
        this.startNanos = nanos.getAsLong();
        this.lastWall = start;
        this.lastNanos = startNanos;
    }

    @Override
    public Instant instant() {
        return start.plusNanos(nanos.getAsLong() - startNanos);
    }

    /**
     * Time that only the time of day has seen since the last call; for one thread.
     *
     * @return zero if the clocks agree or the time of day went back
     */
    public Duration takeWallClockJump() {
        Instant wallNow = wall.instant();
        long nanosNow = nanos.getAsLong();
        Duration ahead = Duration.between(lastWall, wallNow).minusNanos(nanosNow - lastNanos);
        lastWall = wallNow;
        lastNanos = nanosNow;
        return ahead.compareTo(MIN_JUMP) < 0 ? Duration.ZERO : ahead;
    }
}
