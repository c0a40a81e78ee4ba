package org.heatherhaven.core.logic.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.event.TrafficEvent.TargetResult;
import org.heatherhaven.core.model.AttemptKind;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.TargetRef;

/** Checks that overload sheds the least important calls first and that teams share the remaining capacity fairly. */
class AdmissionTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final int SLOTS = 4;

    private static CallHead head(int number, Importance importance, String team, int depth, long remainingMillis) {
        return new CallHead(
                "r" + number,
                "root" + number,
                "host",
                "GET",
                "/x",
                List.of(),
                "origin",
                "service",
                "route",
                team,
                importance,
                importance,
                depth,
                remainingMillis,
                remainingMillis,
                0,
                false,
                AttemptKind.FIRST,
                1);
    }

    /** Returns a target whose four slots are all in use and whose service time is ten milliseconds. */
    private static AdmissionState busy() {
        AdmissionState state = AdmissionLogic.targetAvailable(
                        AdmissionState.start(AdmissionMode.FAIR_SHED, SLOTS, START),
                        new TargetRef("", ""),
                        "service",
                        SLOTS)
                .withLimit(SLOTS);
        Outbox out = new Outbox();
        state = state.withServiceTime(Duration.ofMillis(10));
        for (int i = 0; i < SLOTS; i++) {
            state = AdmissionLogic.offered(
                    state,
                    new OfferKey(1, 1_000 + i),
                    head(1_000 + i, Importance.CRITICAL, "x", 0, 60_000),
                    START,
                    out);
        }
        return state;
    }

    @Property(tries = 300, seed = "20261204")
    void aFullQueueRefusesNoCallWhileALessImportantOneIsQueued(
            @ForAll @Size(min = 50, max = 200) List<@IntRange(min = 0, max = 3) Integer> ranks) {
        AdmissionState state = busy();
        for (int i = 0; i < ranks.size(); i++) {
            Outbox out = new Outbox();
            Importance importance = Importance.values()[ranks.get(i)];
            state = AdmissionLogic.offered(
                    state, new OfferKey(1, i + 1), head(i, importance, "t" + i % 3, 1, 60_000), START, out);
            for (Effect effect : out.effects()) {
                if (effect instanceof Effect.RefuseOffer refused
                        && refused.refusal().reason() == Reason.QUEUE_FULL) {
                    checkRefused(state, Importance.values()[ranks.get((int) refused.key().stream() - 1)]);
                }
            }
        }
    }

    private static void checkRefused(AdmissionState state, Importance refused) {
        boolean lessImportantQueued = state.queue().stream()
                .anyMatch(queued -> refused.outranks(queued.head().importance()));
        if (lessImportantQueued) {
            throw new AssertionError(refused + " was refused while a less important call is queued");
        }
    }

    @Example
    void callsOfRequestsInProgressStartBeforeNewRequestsOfTheSameImportance() {
        AdmissionState state = busy();
        Outbox out = new Outbox();
        state = AdmissionLogic.offered(state, new OfferKey(1, 1), head(1, Importance.HIGH, "t", 0, 60_000), START, out);
        state = AdmissionLogic.offered(state, new OfferKey(1, 2), head(2, Importance.HIGH, "t", 2, 60_000), START, out);
        Outbox next = new Outbox();
        AdmissionLogic.ended(state, new OfferKey(1, 1_000), TargetResult.ANSWERED, START.plusMillis(1), next);
        Effect.RunOffer run = next.effects().stream()
                .filter(Effect.RunOffer.class::isInstance)
                .map(Effect.RunOffer.class::cast)
                .findFirst()
                .orElseThrow();
        if (run.key().stream() != 2) {
            throw new AssertionError("the call of the new request was started first");
        }
    }

    @Example
    void aCallThatWouldWaitPastItsDeadlineIsRefusedOnArrival() {
        Outbox out = new Outbox();
        AdmissionLogic.offered(busy(), new OfferKey(1, 1), head(1, Importance.HIGH, "t", 1, 5), START, out);
        Effect.RefuseOffer refused = (Effect.RefuseOffer) out.effects().get(0);
        if (refused.refusal().reason() != Reason.TOO_LATE) {
            throw new AssertionError("refused for " + refused.refusal().reason());
        }
    }

    @Property(tries = 500, seed = "20261204")
    void fairSharesUseTheWholeCapacityUpToTheDemand(
            @ForAll @Size(min = 1, max = 10) List<@IntRange(min = 1, max = 1_000) Integer> demands,
            @ForAll @DoubleRange(min = 1, max = 5_000) double capacity) {
        Map<String, Double> demand = new HashMap<>();
        for (int i = 0; i < demands.size(); i++) {
            demand.put("t" + i, (double) demands.get(i));
        }
        double fair = FairShare.of(demand.values(), capacity);
        double given =
                demand.values().stream().mapToDouble(d -> Math.min(d, fair)).sum();
        double wanted = demand.values().stream().mapToDouble(d -> d).sum();
        if (Math.abs(given - Math.min(capacity, wanted)) > 1e-6 * capacity) {
            throw new AssertionError("given " + given + " of " + capacity);
        }
    }

    @Example
    void aTeamThatFloodsATargetDoesNotReduceTheFairShareOfAnother() {
        AdmissionState state = AdmissionLogic.targetAvailable(
                        AdmissionState.start(AdmissionMode.FAIR_SHED, SLOTS, START),
                        new TargetRef("", ""),
                        "service",
                        SLOTS)
                .withLimit(SLOTS);
        Map<String, Integer> served = new HashMap<>();
        List<OfferKey> running = new ArrayList<>();
        Map<OfferKey, String> teams = new HashMap<>();
        long stream = 0;
        for (int millis = 0; millis < 5_000; millis += 10) {
            Instant now = START.plusMillis(millis);
            Outbox out = new Outbox();
            state = AdmissionLogic.tick(state, now, out);
            for (OfferKey key : List.copyOf(running)) {
                state = AdmissionLogic.ended(state, key, TargetResult.ANSWERED, now, out);
                running.remove(key);
            }
            for (int i = 0; i < 22; i++) {
                String team = i < 2 ? "quiet" : "noisy";
                stream++;
                OfferKey key = new OfferKey(1, stream);
                teams.put(key, team);
                state = AdmissionLogic.offered(
                        state, key, head((int) stream, Importance.NORMAL, team, 0, 1_000), now, out);
            }
            for (Effect effect : out.effects()) {
                if (effect instanceof Effect.RunOffer run) {
                    running.add(run.key());
                    served.merge(teams.get(run.key()), 1, Integer::sum);
                }
            }
        }
        // The target processes four calls every ten milliseconds; the fair share of the quiet team is two, which is all
        // its demand.
        double fraction = served.get("quiet") / (500.0 * 2);
        if (fraction < 0.95) {
            throw new AssertionError("the quiet team got " + fraction + " of its fair share: " + served);
        }
    }
}
