package org.heatherhaven.core.logic.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import net.jqwik.api.Example;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.model.AttemptKind;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.TargetRef;

/** Checks that no call is started at a target that has left, even for callers that have not yet been informed. */
class LeavingTargetTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration GRACE = Duration.ofMillis(300);
    private static final int SLOTS = 10;

    private static CallHead head(int number) {
        return new CallHead(
                "r" + number,
                "r" + number,
                "host",
                "GET",
                "/x",
                List.of(),
                "origin",
                "service",
                "route",
                "team",
                Importance.HIGH,
                Importance.HIGH,
                0,
                10_000,
                1_000,
                0,
                false,
                AttemptKind.FIRST,
                1);
    }

    private static AdmissionState leaving(int calls, Outbox out) {
        AdmissionState state = AdmissionLogic.targetAvailable(
                AdmissionState.start(AdmissionMode.RANKED, SLOTS, NOW),
                new TargetRef("i-1", "10.0.0.1:80"),
                "service",
                SLOTS);
        for (int call = 0; call < calls; call++) {
            state = AdmissionLogic.offered(state, new OfferKey(1, call), head(call), NOW, out);
        }
        return AdmissionLogic.targetLeaving(state, NOW.plus(GRACE));
    }

    private static long started(Outbox out) {
        return out.effects().stream()
                .filter(effect -> effect instanceof Effect.RunOffer)
                .count();
    }

    private static long refusedNotRun(Outbox out) {
        return out.effects().stream()
                .filter(effect -> effect instanceof Effect.RefuseOffer refuse
                        && refuse.refusal().outcome() == Outcome.NOT_RUN)
                .count();
    }

    @Example
    void callsOfferedAfterTheGracePeriodAreRefusedAsNotRun() {
        AdmissionState state = leaving(0, new Outbox());
        Outbox out = new Outbox();
        AdmissionLogic.offered(state, new OfferKey(1, 99), head(99), NOW.plus(GRACE), out);
        if (started(out) != 0 || refusedNotRun(out) != 1) {
            throw new AssertionError("effects " + out.effects());
        }
    }

    @Example
    void callsThatAreStillQueuedAreRefusedAsNotRun() {
        Outbox before = new Outbox();
        AdmissionState state = leaving(SLOTS + 3, before);
        int queued = state.queue().size();
        Outbox out = new Outbox();
        AdmissionState later = AdmissionLogic.tick(state, NOW.plusSeconds(2), out);
        if (queued == 0 || refusedNotRun(out) != queued || !later.queue().isEmpty()) {
            throw new AssertionError(queued + " were queued, effects " + out.effects());
        }
    }
}
