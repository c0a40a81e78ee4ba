package org.heatherhaven.node.operator;

import java.time.Instant;

import net.jqwik.api.Example;
import org.heatherhaven.core.effect.Decision;

/** Guards the limit on log lines under load: each kind is limited on its own, and suppressed lines are counted. */
class DecisionLoggerTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private final DecisionLogger logger = new DecisionLogger(2);

    private static Decision decision(String rule, Instant at) {
        return new Decision("id", at, 7, rule, "why", "refused");
    }

    private void requireSuppressedBefore(Decision decision, int suppressed) {
        int seen = logger.tryAcquireLine(decision);
        if (seen != suppressed) {
            throw new AssertionError("expected " + suppressed + ", saw " + seen);
        }
    }

    @Example
    void theFirstLineOfEachKindIsAlwaysWritten() {
        for (int rule = 0; rule < 50; rule++) {
            requireSuppressedBefore(decision("rule " + rule, NOW), 0);
        }
    }

    @Example
    void suppressedLinesAreCountedForTheNextLineOfTheirKind() {
        requireSuppressedBefore(decision("a", NOW), 0);
        requireSuppressedBefore(decision("a", NOW), 0);
        requireSuppressedBefore(decision("a", NOW.plusMillis(10)), -1);
        requireSuppressedBefore(decision("a", NOW.plusMillis(900)), -1);
        requireSuppressedBefore(decision("a", NOW.plusMillis(1_000)), 2);
        requireSuppressedBefore(decision("a", NOW.plusMillis(1_001)), 0);
    }
}
