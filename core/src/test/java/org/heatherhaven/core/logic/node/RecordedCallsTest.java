package org.heatherhaven.core.logic.node;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.Example;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.event.PlatformEvent;
import org.heatherhaven.core.event.TrafficEvent;
import org.heatherhaven.core.fleet.Policies;
import org.heatherhaven.core.message.PermitRequest;
import org.heatherhaven.core.model.AttemptKind;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.KeyGrant;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.Team;
import org.heatherhaven.core.recorded.FixedFleet;
import org.heatherhaven.core.recorded.Recorded;

/** Names that a node gives to calls, and the keys that ledgers keep, are made as other versions make them. */
class RecordedCallsTest {

    private static final List<Member> NINE = FixedFleet.nine();
    private static final Instant NOW = FixedFleet.NOW;

    private final List<String> lines = new ArrayList<>();
    private NodeState state = NodeState.start(NodeRules.defaults(1), NINE.get(0), NOW);

    private List<Effect> reduce(Event event) {
        NodeReducer.Result result = NodeReducer.reduce(state, event, NOW);
        state = result.state();
        return result.effects();
    }

    private static TrafficEvent arrival(long call, String path, Optional<String> idempotencyKey) {
        return new TrafficEvent.CallArrived(
                call,
                TrafficEvent.EntryPoint.CALLER,
                new TrafficEvent.CallRequest(
                        Optional.empty(),
                        "inn.example",
                        "POST",
                        path,
                        List.of(),
                        Policies.key(),
                        Optional.empty(),
                        Optional.empty(),
                        idempotencyKey));
    }

    /** A policy whose team has no rate, so that its calls wait for no token. */
    private void policy() {
        PolicySnapshot policy = new PolicySnapshot(
                3,
                List.of(new Team("banquets", 0, 0, 1)),
                List.of(Policies.route("book", "/bookings", "bookings", Importance.CRITICAL, true, false)),
                List.of(new KeyGrant(Policies.KEY, "banquets")));
        reduce(new PlatformEvent.MembersListed(NINE));
        reduce(new PlatformEvent.PolicyRead(Optional.of(policy), List.of(), 0));
    }

    @Example
    void requestIdsAreThoseRecorded() {
        for (Member self : NINE) {
            state = NodeState.start(NodeRules.defaults(1), self, NOW);
            for (Effect effect : reduce(arrival(1_000, "/nowhere", Optional.empty()))) {
                if (effect instanceof Effect.RefuseCall refuse) {
                    lines.add(self.id() + " " + refuse.requestId());
                }
            }
        }
        Recorded.requireSame("request-ids.txt", lines);
    }

    @Example
    void keysOfLedgersAreThoseRecorded() {
        policy();
        for (int call = 1; call <= 30; call++) {
            String key = "key-" + call;
            for (Effect effect : reduce(arrival(call, "/bookings/7", Optional.of(key)))) {
                if (effect instanceof Effect.Send send && send.message() instanceof PermitRequest ask) {
                    lines.add(key + " " + send.to() + " " + ask.ledgerSlot() + " " + ask.key());
                }
            }
        }
        Recorded.requireSame("ledger-keys.txt", lines);
    }

    @Example
    void contextsOfCallsAreThoseRecorded() {
        for (int stream = 1; stream <= 3; stream++) {
            CallHead head = new CallHead(
                    "request-" + stream,
                    "root-1",
                    "inn.example",
                    "GET",
                    "/x",
                    List.of(),
                    "bookings",
                    "pricing",
                    "quote",
                    "banquets",
                    Importance.HIGH,
                    Importance.HIGH,
                    0,
                    Duration.ofSeconds(2).toMillis(),
                    Duration.ofSeconds(1).toMillis(),
                    2,
                    false,
                    AttemptKind.FIRST,
                    3);
            for (Effect effect : reduce(new TrafficEvent.OfferArrived(new OfferKey(40, stream), head))) {
                if (effect instanceof Effect.RunOffer run) {
                    lines.add(head.requestId() + " " + run.context());
                }
            }
        }
        Recorded.requireSame("contexts.txt", lines);
    }
}
