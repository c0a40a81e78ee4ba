package org.heatherhaven.core.proof;

import java.time.Duration;
import java.util.Optional;

import net.jqwik.api.Example;
import org.heatherhaven.core.fleet.Faults;
import org.heatherhaven.core.fleet.Policies;
import org.heatherhaven.core.fleet.SmallFleet;
import org.heatherhaven.core.fleet.TestNode;
import org.heatherhaven.core.model.Reason;

/** Checks that a request runs only for the team of its API key, except on open routes. */
class IsolationTest {

    private final SmallFleet fleet = Fleets.started(1, Faults.NONE, 2, Policies.first(200, 50, 1));
    private final TestNode node = fleet.nodes().get(0);

    private Reason refusalOf(String path, Optional<String> key) {
        fleet.call(node, "call", path, key, Optional.empty());
        fleet.run(Duration.ofSeconds(1));
        if (fleet.history().refusals().isEmpty()) {
            throw new AssertionError("not refused");
        }
        return fleet.history().refusals().get(0).refusal().reason();
    }

    @Example
    void aRequestWithoutAKeyIsRefused() {
        expect(Reason.KEY_MISSING, refusalOf("/pricing/x", Optional.empty()));
    }

    @Example
    void aRequestWithAnUnknownKeyIsRefused() {
        expect(Reason.KEY_UNKNOWN, refusalOf("/pricing/x", Optional.of("c".repeat(64))));
    }

    @Example
    void aRequestOnAnOpenRouteRunsWithoutATeam() {
        fleet.call(node, "call", "/open/x", Optional.empty(), Optional.empty());
        fleet.run(Duration.ofSeconds(1));
        expect(1, fleet.history().executions().size());
        expect(0, fleet.history().admissions().size());
    }

    @Example
    void aRequestRunsForTheTeamOfItsKey() {
        fleet.call(node, "call", "/pricing/x", Optional.of(Policies.OTHER_KEY), Optional.empty());
        fleet.run(Duration.ofSeconds(1));
        expect("crews", fleet.history().admissions().get(0).team());
    }

    @Example
    void aNestedCallWithAnUnknownContextDoesNotRun() {
        fleet.callFromTarget(node, "no-such-context", "call", "/pricing/x");
        fleet.run(Duration.ofSeconds(1));
        expect(Reason.CONTEXT_ENDED, fleet.history().refusals().get(0).refusal().reason());
        expect(0, fleet.history().executions().size());
    }

    private static void expect(Object expected, Object actual) {
        if (!expected.equals(actual)) {
            throw new AssertionError("expected " + expected + ", got " + actual);
        }
    }
}
