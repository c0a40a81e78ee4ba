package org.heatherhaven.node.operator;

import java.time.Instant;

import net.jqwik.api.Example;
import org.heatherhaven.core.effect.Decision;

/** The log stays readable under load, and says what it leaves out. */
class DecisionLoggerTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private final DecisionLogger logger = new DecisionLogger(2);

    private static Decision decision(String rule, Instant at) {
        return new Decision("id", at, 7, rule, "why", "refused");
    }

    private void admits(Decision decision, int leftOut) {
        int seen = logger.tryAcquireLine(decision);
        if (seen != leftOut) {
            throw new AssertionError("expected " + leftOut + ", saw " + seen);
        }
    }

    @Example
    void firstOccurrencesAreAlwaysWritten() {
        for (int rule = 0; rule < 50; rule++) {
            admits(decision("rule " + rule, NOW), 0);
        }
    }

    @Example
    void repeatedOnesAreCountedAndTheCountIsWrittenWithTheNext() {
        admits(decision("a", NOW), 0);
        admits(decision("a", NOW), 0);
        admits(decision("a", NOW.plusMillis(10)), -1);
        admits(decision("a", NOW.plusMillis(900)), -1);
        admits(decision("a", NOW.plusMillis(1_000)), 2);
        admits(decision("a", NOW.plusMillis(1_001)), 0);
    }
}
