package org.heatherhaven.core.logic.admission;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.event.TrafficEvent.TargetResult;
import org.heatherhaven.core.model.AttemptKind;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.TargetRef;

/**
 * A call runs only at a target of the service that it was admitted for. After a target's address had gone to a target of
 * another service, nodes that had not heard of it offered calls of the old service, and the new target ran them; so it
 * did calls that still waited in the queue.
 */
class ReusedAddressTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final int SLOTS = 2;
    private static final List<String> SERVICES = List.of("old", "new");

    /** Something that happens at the node of the address. */
    enum Step {
        OFFER_OLD,
        OFFER_NEW,
        RETRY_OLD,
        TARGET_OLD,
        TARGET_NEW,
        TARGET_NEW_WITH_THE_SAME_ID,
        TARGET_LEAVES,
        END_OLDEST,
        TICK
    }

    private static CallHead head(long number, String service, AttemptKind kind) {
        return new CallHead(
                "r" + number,
                "r" + number,
                "host",
                "GET",
                "/x",
                List.of(),
                "origin",
                service,
                "route",
                "team",
                Importance.HIGH,
                Importance.HIGH,
                0,
                10_000,
                1_000,
                0,
                true,
                kind,
                1);
    }

    /** The node with its target, and the service that each offered call is for. */
    private static final class Play {

        private final AdmissionMode mode;
        private AdmissionState state;
        private String service = "old";
        private Instant now = NOW;
        private long calls;

        private Play(AdmissionMode mode) {
            this.mode = mode;
            state = AdmissionState.start(mode, SLOTS, NOW);
            replace("i-1", "old");
        }

        private void replace(String instance, String next) {
            service = next;
            TargetRef ref = new TargetRef(instance, "10.0.0.1:80");
            state = AdmissionLogic.targetAvailable(state, ref, next, SLOTS);
        }

        private void offer(String wanted, AttemptKind kind) {
            Outbox out = new Outbox();
            calls++;
            OfferKey key = new OfferKey(SERVICES.indexOf(wanted), calls);
            state = AdmissionLogic.offered(state, key, head(calls, wanted, kind), now, out);
            check(out);
        }

        private void apply(Step step) {
            now = now.plusMillis(20);
            switch (step) {
                case OFFER_OLD -> offer("old", AttemptKind.FIRST);
                case OFFER_NEW -> offer("new", AttemptKind.FIRST);
                case RETRY_OLD -> offer("old", AttemptKind.RETRY);
                case TARGET_OLD -> replace("i-1", "old");
                case TARGET_NEW -> replace("i-2", "new");
                case TARGET_NEW_WITH_THE_SAME_ID -> replace("i-1", "new");
                case TARGET_LEAVES -> state = AdmissionLogic.targetLeaving(state, now);
                case END_OLDEST -> endOldest();
                default -> tick();
            }
        }

        private void endOldest() {
            Optional<OfferKey> oldest = state.running().keySet().stream().findFirst();
            Outbox out = new Outbox();
            oldest.ifPresent(key -> state = AdmissionLogic.ended(state, key, TargetResult.ANSWERED, now, out));
            check(out);
        }

        private void tick() {
            Outbox out = new Outbox();
            state = AdmissionLogic.tick(state, now, out);
            check(out);
            boolean foreign = state.queue().stream()
                    .anyMatch(call -> !call.head().service().equals(service));
            if (foreign) {
                throw new AssertionError("a call of another service still waits after a tick in mode " + mode);
            }
        }

        /** Checks the calls that were started, and that refused ones are said not to have run. */
        private void check(Outbox out) {
            for (Effect effect : out.effects()) {
                if (effect instanceof Effect.RunOffer run
                        && !SERVICES.get((int) run.key().link()).equals(service)) {
                    throw new AssertionError("a call for another service runs at a target of " + service);
                }
                if (effect instanceof Effect.RefuseOffer refuse
                        && refuse.refusal().outcome() != Outcome.NOT_RUN) {
                    throw new AssertionError("refused with " + refuse.refusal());
                }
            }
        }
    }

    @Property(tries = 500, seed = "20261205")
    void aCallRunsOnlyAtATargetOfTheServiceItWasAdmittedFor(
            @ForAll AdmissionMode mode, @ForAll @Size(min = 1, max = 40) List<Step> steps) {
        Play play = new Play(mode);
        steps.forEach(play::apply);
        play.tick();
    }

    @Property(tries = 20, seed = "20261205")
    void callsThatWaitForATargetThatIsReplacedDoNotRunAtTheNewOne(@ForAll @IntRange(min = 0, max = 4) int busy) {
        List<Step> steps = Stream.of(
                        Stream.generate(() -> Step.OFFER_OLD).limit(SLOTS + busy),
                        Stream.of(Step.TARGET_NEW),
                        Stream.generate(() -> Step.END_OLDEST).limit(SLOTS + busy),
                        Stream.of(Step.TICK))
                .flatMap(any -> any)
                .toList();
        Play play = new Play(AdmissionMode.RANKED);
        steps.forEach(play::apply);
    }
}
