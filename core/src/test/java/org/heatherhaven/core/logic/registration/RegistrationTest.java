package org.heatherhaven.core.logic.registration;

import java.time.Duration;
import java.time.Instant;

import net.jqwik.api.Example;
import org.heatherhaven.core.model.TargetRef;
import org.heatherhaven.core.model.TargetReport;

/** Reports that are late, repeated or from an earlier process change nothing. */
class RegistrationTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private static TargetReport report(String instance, long startMillis, long sequence, boolean leaving) {
        return new TargetReport(
                new TargetRef(instance, "10.0.0.1:80"), "bookings", 8, leaving, startMillis, sequence, Duration.ZERO);
    }

    private static RegistrationState after(TargetReport... reports) {
        RegistrationState state = RegistrationState.NONE;
        for (TargetReport report : reports) {
            state = RegistrationLogic.handleReport(state, report, NOW);
        }
        return state;
    }

    private static void assertInForce(RegistrationState state, String instance) {
        boolean inForce = state.activeReport()
                .filter(report -> report.target().instance().equals(instance))
                .isPresent();
        if (!inForce) {
            throw new AssertionError("in force: " + state);
        }
    }

    @Example
    void aReportOfAnEarlierProcessChangesNothing() {
        assertInForce(after(report("new", 200, 1, false), report("old", 100, 9, false)), "new");
    }

    @Example
    void aLaterProcessReplacesOneThatLeft() {
        assertInForce(after(report("old", 100, 9, true), report("new", 200, 1, false)), "new");
    }

    @Example
    void aRestartedProcessWithTheSameNameStartsItsSequenceAnew() {
        assertInForce(after(report("same", 100, 9, true), report("same", 200, 0, false)), "same");
    }

    @Example
    void laterReportsDoNotRevokeThatTheTargetLeaves() {
        RegistrationState state = after(report("a", 100, 5, true), report("a", 100, 4, false));
        RegistrationState later = RegistrationLogic.handleReport(state, report("a", 100, 6, false), NOW);
        if (state.activeReport().isPresent() || later.activeReport().isPresent()) {
            throw new AssertionError("in service again: " + later);
        }
    }

    @Example
    void onlyADepartureOfTheProcessInForceTakesEffect() {
        RegistrationState state = after(report("a", 100, 5, false));
        assertInForce(RegistrationLogic.handleDeparture(state, "b"), "a");
        if (RegistrationLogic.handleDeparture(state, "a").activeReport().isPresent()) {
            throw new AssertionError("did not leave");
        }
    }

    @Example
    void aTargetThatNoLongerReportsIsOverdue() {
        RegistrationState state = after(report("a", 100, 5, false));
        Duration limit = Duration.ofSeconds(6);
        boolean beforeLimit = RegistrationLogic.overdue(state, limit, NOW.plusSeconds(5));
        boolean afterLimit = RegistrationLogic.overdue(state, limit, NOW.plusSeconds(7));
        if (beforeLimit || !afterLimit) {
            throw new AssertionError(beforeLimit + ", " + afterLimit);
        }
    }
}
