package org.heatherhaven.node.control;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

/**
 * A clock that never goes back, and that sees the time a machine was suspended.
 *
 * <p>Elapsed time is the larger of what the monotonic and the wall clock say: a suspended machine may stop the first,
 * and an operator may set back the second.
 */
public final class SteadyClock implements InstantSource {

    private final InstantSource wall;
    private final LongSupplier nanos;
    private final AtomicReference<Reading> last;

    private record Reading(Instant steady, Instant wall, long nanos) {}

    /** A clock on the machine's own clocks. */
    public SteadyClock() {
        this(InstantSource.system(), System::nanoTime);
    }

    SteadyClock(InstantSource wall, LongSupplier nanos) {
        this.wall = wall;
        this.nanos = nanos;
        Instant start = wall.instant();
        this.last = new AtomicReference<>(new Reading(start, start, nanos.getAsLong()));
    }

    @Override
    public Instant instant() {
        while (true) {
            Reading before = last.get();
            Reading next = after(before);
            if (last.compareAndSet(before, next)) {
                return next.steady();
            }
        }
    }

    private Reading after(Reading before) {
        Instant wallNow = wall.instant();
        long nanosNow = nanos.getAsLong();
        Duration byWall = Duration.between(before.wall(), wallNow);
        Duration byNanos = Duration.ofNanos(Math.max(0, nanosNow - before.nanos()));
        Duration elapsed = byWall.compareTo(byNanos) > 0 ? byWall : byNanos;
        return new Reading(before.steady().plus(elapsed), wallNow, nanosNow);
    }
}
