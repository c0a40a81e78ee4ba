package org.heatherhaven.core.proof;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.Example;
import org.heatherhaven.core.event.TrafficEvent.TargetResult;
import org.heatherhaven.core.fleet.Faults;
import org.heatherhaven.core.fleet.Policies;
import org.heatherhaven.core.fleet.SmallFleet;
import org.heatherhaven.core.model.Outcome;

/** Callers that a full target refuses in one moment are told different times to come back. */
class RetryAfterReachesCallersTest {

    private static final int CALLS = 600;

    @Example
    void callersThatAreRefusedTogetherAreToldDifferentTimes() {
        SmallFleet fleet = Fleets.started(1, Faults.NONE, 4, Policies.first(5_000, 5_000, 1));
        fleet.setWork(Duration.ofSeconds(1), TargetResult.ANSWERED);
        for (int call = 0; call < CALLS; call++) {
            fleet.call(fleet.nodes().get(call % 4), "c" + call, "/open/x", Optional.empty(), Optional.empty());
        }
        fleet.run(Duration.ofMillis(100));
        List<Duration> told = fleet.history().refusals().stream()
                .filter(refused -> refused.refusal().outcome() == Outcome.NOT_RUN)
                .map(refused -> refused.refusal().retryAfter())
                .toList();
        if (told.size() < 10 || told.stream().distinct().count() < told.size() / 4) {
            throw new AssertionError(
                    told.size() + " refused, told " + told.stream().distinct().toList());
        }
    }
}
