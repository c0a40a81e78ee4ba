package org.heatherhaven.core.logic.pressure;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.Route;
import org.heatherhaven.core.model.Team;

/** Checks that less urgent requests are shed first, and that no level is shed completely. */
class ShedRuleTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final int RESERVE = ShedRule.urgency(Importance.HIGH, Importance.CRITICAL);
    private static final int QUOTE = ShedRule.urgency(Importance.HIGH, Importance.HIGH);
    private static final int STOCK = ShedRule.urgency(Importance.HIGH, Importance.NORMAL);
    private static final List<Integer> LEVELS = List.of(RESERVE, QUOTE, STOCK);

    private static Route route(String name, Importance importance, boolean open) {
        return new Route(name, "/" + name, "s", importance, false, open, new Route.Limits(Duration.ofSeconds(1), 1));
    }

    @Example
    void levelsAreThoseOfRoutesThatNeedAKey() {
        List<Route> routes = List.of(
                route("reserve", Importance.CRITICAL, false),
                route("quote", Importance.HIGH, false),
                route("stock", Importance.NORMAL, false),
                route("nested", Importance.LOW, true));
        List<Team> teams = List.of(new Team("a", 1, 1, 1, Optional.of(Importance.HIGH)));
        expect(LEVELS, ShedRule.levels(routes, teams));
    }

    @Example
    void theImportanceOfTheTeamCountsBeforeThatOfTheRoute() {
        int importantTeam = ShedRule.urgency(Importance.HIGH, Importance.LOW);
        int importantRoute = ShedRule.urgency(Importance.NORMAL, Importance.CRITICAL);
        if (importantTeam >= importantRoute) {
            throw new AssertionError(importantTeam + " is not more urgent than " + importantRoute);
        }
    }

    @Property
    void noLevelIsShedBeforeTheNextLessUrgentOneIsNearlyAllShed(@ForAll @IntRange(min = 0, max = 1_000) int pressure) {
        double stock = ShedRule.shedFraction(pressure, STOCK, LEVELS);
        double quote = ShedRule.shedFraction(pressure, QUOTE, LEVELS);
        double reserve = ShedRule.shedFraction(pressure, RESERVE, LEVELS);
        boolean ordered = (quote == 0 || stock > 0.95) && (reserve == 0 || quote > 0.95);
        boolean probes = stock < 1 && quote < 1 && reserve < 1;
        if (!ordered || !probes) {
            throw new AssertionError(pressure + ": " + stock + ", " + quote + ", " + reserve);
        }
    }

    @Example
    void aReportWithoutSuccessorsDecaysSoThatNodesThatAdmitNothingTryAgain() {
        RoutePressure state = RoutePressure.EMPTY;
        for (int i = 0; i < 50; i++) {
            state = state.withReport("stock", 800, NOW);
        }
        int now = state.of("stock", NOW);
        int later = state.of("stock", NOW.plusSeconds(5));
        if (now < 750
                || later > 50
                || !state.prune(NOW.plusSeconds(20)).reports().isEmpty()) {
            throw new AssertionError(now + ", later " + later);
        }
    }

    private static void expect(Object expected, Object seen) {
        if (!expected.equals(seen)) {
            throw new AssertionError("expected " + expected + ", saw " + seen);
        }
    }
}
