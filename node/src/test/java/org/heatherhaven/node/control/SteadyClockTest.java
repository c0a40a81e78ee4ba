package org.heatherhaven.node.control;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** The clock never goes back, ignores jumps of the wall clock, and reports forward jumps of it. */
class SteadyClockTest {

    private final AtomicReference<Instant> wall = new AtomicReference<>(Instant.parse("2026-01-01T00:00:00Z"));
    private final AtomicLong nanos = new AtomicLong();
    private final SteadyClock clock = new SteadyClock(wall::get, nanos::get);

    @Property(tries = 200, seed = "20261204")
    void itNeverGoesBack(@ForAll @Size(max = 50) List<@IntRange(min = -5_000, max = 5_000) Integer> wallSteps) {
        Instant last = clock.instant();
        for (int step : wallSteps) {
            wall.set(wall.get().plusMillis(step));
            nanos.addAndGet(1_000);
            Instant now = clock.instant();
            if (now.isBefore(last)) {
                throw new AssertionError("went back from " + last + " to " + now);
            }
            last = now;
        }
    }

    @Example
    void itReportsAForwardJumpOfTheWallClockOnceAndDoesNotFollowIt() {
        Instant before = clock.instant();
        wall.set(wall.get().plusSeconds(60));
        expect(Duration.ofSeconds(60), clock.takeWallClockJump());
        expect(Duration.ZERO, clock.takeWallClockJump());
        expect(Duration.ZERO, Duration.between(before, clock.instant()));
    }

    @Example
    void itReportsNoJumpWhenTheWallClockIsSetBack() {
        wall.set(wall.get().minusSeconds(60));
        expect(Duration.ZERO, clock.takeWallClockJump());
        wall.set(wall.get().plusMillis(5));
        nanos.addAndGet(5_000_000);
        expect(Duration.ZERO, clock.takeWallClockJump());
    }

    private static void expect(Duration expected, Duration actual) {
        if (!actual.equals(expected)) {
            throw new AssertionError("expected " + expected + ", saw " + actual);
        }
    }
}
