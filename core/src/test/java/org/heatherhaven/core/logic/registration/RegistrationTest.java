package org.heatherhaven.core.logic.registration;

import java.time.Duration;
import java.time.Instant;

import net.jqwik.api.Example;
import org.heatherhaven.core.model.TargetRef;
import org.heatherhaven.core.model.TargetReport;

/** Late, doubled and foreign reports change nothing. */
class RegistrationTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private static TargetReport report(String instance, long born, long sequence, boolean leaving) {
        return new TargetReport(
                new TargetRef(instance, "10.0.0.1:80"), "bookings", 8, leaving, born, sequence, Duration.ZERO);
    }

    private static RegistrationState after(TargetReport... reports) {
        RegistrationState state = RegistrationState.NONE;
        for (TargetReport report : reports) {
            state = RegistrationLogic.handleReport(state, report, NOW);
        }
        return state;
    }

    private static void holds(RegistrationState state, String instance) {
        boolean held = state.activeReport()
                .filter(report -> report.target().instance().equals(instance))
                .isPresent();
        if (!held) {
            throw new AssertionError("holds " + state);
        }
    }

    @Example
    void aReportOfAnEarlierProcessChangesNothing() {
        holds(after(report("new", 200, 1, false), report("old", 100, 9, false)), "new");
    }

    @Example
    void aYoungerProcessReplacesOneThatLeft() {
        holds(after(report("old", 100, 9, true), report("new", 200, 1, false)), "new");
    }

    @Example
    void aProcessThatStartsAgainUnderItsNameBeginsToCountAnew() {
        holds(after(report("same", 100, 9, true), report("same", 200, 0, false)), "same");
    }

    @Example
    void aLateReportDoesNotTakeBackThatTheTargetLeaves() {
        RegistrationState state = after(report("a", 100, 5, true), report("a", 100, 4, false));
        RegistrationState later = RegistrationLogic.handleReport(state, report("a", 100, 6, false), NOW);
        if (state.activeReport().isPresent() || later.activeReport().isPresent()) {
            throw new AssertionError("in service again: " + later);
        }
    }

    @Example
    void onlyTheProcessThatHoldsCanLeave() {
        RegistrationState state = after(report("a", 100, 5, false));
        holds(RegistrationLogic.handleDeparture(state, "b"), "a");
        if (RegistrationLogic.handleDeparture(state, "a").activeReport().isPresent()) {
            throw new AssertionError("did not leave");
        }
    }

    @Example
    void aTargetThatNoLongerReportsIsSilent() {
        RegistrationState state = after(report("a", 100, 5, false));
        Duration patience = Duration.ofSeconds(6);
        boolean early = RegistrationLogic.overdue(state, patience, NOW.plusSeconds(5));
        boolean late = RegistrationLogic.overdue(state, patience, NOW.plusSeconds(7));
        if (early || !late) {
            throw new AssertionError(early + ", " + late);
        }
    }
}
