package org.heatherhaven.node.control;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.LongSupplier;

/**
 * A clock that follows the monotonic clock: it never goes back and ignores jumps of the wall clock.
 *
 * <p>While a machine is suspended, its monotonic clock may stand still and only the wall clock advance. A suspension
 * can't be told apart from a wall clock that was set forward. {@link #takeWallClockJump} therefore reports every such
 * jump, so that information of limited validity can be distrusted after it. Deadlines are measured by
 * {@link #instant}, that is by the time in which this process could run.
 */
public final class SteadyClock implements InstantSource {

    /** Smaller differences are ignored: clock slewing and reading the two clocks in turn cause them. */
    private static final Duration MIN_JUMP = Duration.ofMillis(300);

    private final InstantSource wall;
    private final LongSupplier nanos;
    private final Instant start;
    private final long startNanos;
    private Instant lastWall;
    private long lastNanos;

    /** Creates a clock on the system's wall clock and monotonic clock. */
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
     * Returns by how much the wall clock has advanced more than the monotonic clock since the last call; for one thread
     * only.
     *
     * @return the difference; zero if it is below 300 ms or the wall clock was set back
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
