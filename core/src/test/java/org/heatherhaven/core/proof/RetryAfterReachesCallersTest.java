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

/**
 * Checks that callers refused by a full target at the same time get different retry-after delays, so that they do not
 * retry all at once.
 */
class RetryAfterReachesCallersTest {

    private static final int CALLS = 600;

    @Example
    void callersRefusedTogetherGetDifferentRetryAfterDelays() {
        SmallFleet fleet = Fleets.started(1, Faults.NONE, 4, Policies.first(5_000, 5_000, 1));
        fleet.setWork(Duration.ofSeconds(1), TargetResult.ANSWERED);
        for (int call = 0; call < CALLS; call++) {
            fleet.call(fleet.nodes().get(call % 4), "c" + call, "/open/x", Optional.empty(), Optional.empty());
        }
        fleet.run(Duration.ofMillis(100));
        List<Duration> delays = fleet.history().refusals().stream()
                .filter(refused -> refused.refusal().outcome() == Outcome.NOT_RUN)
                .map(refused -> refused.refusal().retryAfter())
                .toList();
        if (delays.size() < 10 || delays.stream().distinct().count() < delays.size() / 4) {
            throw new AssertionError(delays.size() + " refused, delays "
                    + delays.stream().distinct().toList());
        }
    }
}
