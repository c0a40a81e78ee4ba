package org.heatherhaven.standin.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.ControlEvent;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.event.PlatformEvent;
import org.heatherhaven.core.event.TrafficEvent;
import org.heatherhaven.core.logic.node.NodeReducer;
import org.heatherhaven.core.logic.node.NodeRules;
import org.heatherhaven.core.logic.node.NodeState;
import org.heatherhaven.core.message.GossipUpdate;
import org.heatherhaven.core.message.LeaseRenewalRequest;
import org.heatherhaven.core.message.LoanRequest;
import org.heatherhaven.core.message.PeerMessage;
import org.heatherhaven.core.message.PolicyPage;
import org.heatherhaven.core.message.Probe;
import org.heatherhaven.core.message.ProbeAck;
import org.heatherhaven.core.model.AttemptKind;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.KeyGrant;
import org.heatherhaven.core.model.LeaseClaim;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.MemberStatus;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.PolicyPatch;
import org.heatherhaven.core.model.PolicyVersion;
import org.heatherhaven.core.model.Route;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.core.model.Zone;
import org.heatherhaven.node.wire.FrameType;
import org.heatherhaven.node.wire.WireCodec;

/** Measures how the cost of one node's control logic grows with the fleet size, on one reducer without sockets. */
public final class ControlCost {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final int[] FLEET_SIZES = {1_000, 10_000, 24_000};
    private static final int MEMBERS_PER_SERVICE = 18;
    private static final int ZONES = 18;
    private static final int REGIONS = 6;
    private static final int IDLE_SECONDS = 60;
    private static final int TICKS_PER_SECOND = 40;
    private static final int CALLS = 20_000;
    private static final int FRAME_HEADER_BYTES = 13;
    private static final double NANOS_PER_MICRO = 1_000;

    private final Consumer<String> out;

    /**
     * Creates the measurement.
     *
     * @param out receives the lines of the report
     */
    public ControlCost(Consumer<String> out) {
        this.out = out;
    }

    /** Measures all fleet sizes and prints the tables. */
    public void run() {
        warmUp();
        out.accept(
                "| members | state, MB | a quiet second, µs | a probe, µs | news of a member, µs | a call at entry, µs"
                        + " | an offer at its target, µs | messages a quiet second | bytes a quiet second |");
        out.accept("|---|---|---|---|---|---|---|---|---|");
        for (int members : FLEET_SIZES) {
            out.accept(row(members));
        }
        out.accept("");
        out.accept("| message | bytes with frame |");
        out.accept("|---|---|");
        messages()
                .forEach(message ->
                        out.accept(String.format(Locale.ROOT, "| %s | %d |", tableName(message), frameBytes(message))));
    }

    private void warmUp() {
        for (int i = 0; i < 3; i++) {
            NodeState state = joinedNode(2_000);
            measureIdle(state, 10);
            measureCalls(state);
            measureOffers(state);
        }
    }

    private String row(int members) {
        long before = usedMemory();
        NodeState state = joinedNode(members);
        double megabytes = (usedMemory() - before) / 1e6;
        IdleCost quiet = measureIdle(state, IDLE_SECONDS);
        return String.format(
                Locale.ROOT,
                "| %d | %.1f | %.0f | %.1f | %.1f | %.1f | %.1f | %.1f | %.0f |",
                members,
                megabytes,
                quiet.microsPerSecond(),
                measureProbes(state, members),
                measureMemberChanges(state, members),
                measureCalls(state),
                measureOffers(state),
                quiet.messagesPerSecond(),
                quiet.bytesPerSecond());
    }

    private static long usedMemory() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static Member member(int index) {
        return new Member(
                new NodeId("10." + index / 65_536 + "." + index / 256 % 256 + "." + index % 256 + ":7300"),
                START.toEpochMilli(),
                0,
                MemberStatus.ALIVE,
                new Zone("region-" + index % REGIONS, "zone-" + index % ZONES),
                "service-" + index / MEMBERS_PER_SERVICE,
                50);
    }

    /** Returns the state of a node that lists a whole fleet and has sent all its membership changes. */
    private static NodeState joinedNode(int members) {
        NodeState state = NodeState.start(NodeRules.defaults(1), member(0), START);
        List<Member> all = new ArrayList<>();
        for (int i = 1; i < members; i++) {
            all.add(member(i));
        }
        state = reduce(state, new PlatformEvent.PolicyRead(Optional.empty(), List.of(initialPolicy()), 0), START)
                .state();
        state = reduce(state, new PlatformEvent.MembersListed(all), START).state();
        Instant now = START;
        while (state.fleet().hasChanges()) {
            now = now.plusMillis(200);
            state = tickAndAnswerProbes(state, now, new int[2]);
        }
        return state;
    }

    private static PolicyVersion initialPolicy() {
        return new PolicyVersion(
                1,
                new PolicyPatch(
                        "first",
                        0,
                        "slopes",
                        "",
                        List.of(),
                        List.of(new Route(
                                "open",
                                "/open",
                                "service-0",
                                Importance.NORMAL,
                                false,
                                true,
                                new Route.Limits(Duration.ofSeconds(2), 3))),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of()));
    }

    private static NodeReducer.Result reduce(NodeState state, Event event, Instant now) {
        return NodeReducer.reduce(state, event, now);
    }

    /**
     * Applies one tick and answers every probe as a member without changes does.
     *
     * @param sent counters of messages and of bytes, to which sent messages and responses are added
     */
    private static NodeState tickAndAnswerProbes(NodeState state, Instant now, int[] sent) {
        NodeReducer.Result result = reduce(state, new ControlEvent.Tick(), now);
        NodeState next = result.state();
        for (Effect effect : result.effects()) {
            if (effect instanceof Effect.Send send) {
                sent[0]++;
                sent[1] += frameBytes(send.message());
                Optional<PeerMessage> response = probeResponse(next, send);
                if (response.isPresent()) {
                    sent[0]++;
                    sent[1] += frameBytes(response.get());
                    next = reduce(next, new ControlEvent.PeerMessageReceived(response.get()), now)
                            .state();
                }
            }
        }
        return next;
    }

    private static Optional<PeerMessage> probeResponse(NodeState state, Effect.Send send) {
        if (!(send.message() instanceof Probe probe)) {
            return Optional.empty();
        }
        return state.fleet()
                .find(send.to())
                .map(member -> new ProbeAck(member, probe.seq(), new GossipUpdate(List.of(), 1, 500)));
    }

    private record IdleCost(double microsPerSecond, double messagesPerSecond, double bytesPerSecond) {}

    /** Returns the cost per second of a node without calls or membership changes. */
    private static IdleCost measureIdle(NodeState start, int seconds) {
        NodeState state = start;
        int[] sent = new int[2];
        Instant now = start.lastEventAt();
        long startedAt = System.nanoTime();
        for (int tick = 0; tick < seconds * TICKS_PER_SECOND; tick++) {
            now = now.plusMillis(1_000 / TICKS_PER_SECOND);
            state = tickAndAnswerProbes(state, now, sent);
        }
        double micros = (System.nanoTime() - startedAt) / NANOS_PER_MICRO / seconds;
        // A node receives about as many probes as it sends, each with a response, so the counts are doubled.
        return new IdleCost(micros, 2.0 * sent[0] / seconds, 2.0 * sent[1] / seconds);
    }

    /** Returns the mean time to handle a probe without changes, in microseconds. */
    private static double measureProbes(NodeState start, int members) {
        NodeState state = start;
        long startedAt = System.nanoTime();
        for (int i = 0; i < CALLS; i++) {
            Probe probe = new Probe(member(1 + i % (members - 1)), i, new GossipUpdate(List.of(), 1, 500));
            state = reduce(state, new ControlEvent.PeerMessageReceived(probe), state.lastEventAt())
                    .state();
        }
        return (System.nanoTime() - startedAt) / NANOS_PER_MICRO / CALLS;
    }

    /** Returns the mean time to handle a probe that carries a changed member, in microseconds. */
    private static double measureMemberChanges(NodeState start, int members) {
        NodeState state = start;
        int changes = 500;
        long startedAt = System.nanoTime();
        for (int i = 0; i < changes; i++) {
            Member changed = member(1 + i % (members - 1)).withRefutation(i + 1, MemberStatus.ALIVE);
            Probe probe = new Probe(member(1), i, new GossipUpdate(List.of(changed), 1, 500));
            state = reduce(state, new ControlEvent.PeerMessageReceived(probe), state.lastEventAt())
                    .state();
        }
        return (System.nanoTime() - startedAt) / NANOS_PER_MICRO / changes;
    }

    /** Returns the mean time to handle a call at its entry node, from its arrival to its end, in microseconds. */
    private static double measureCalls(NodeState start) {
        NodeState state = start;
        long startedAt = System.nanoTime();
        for (int i = 1; i <= CALLS; i++) {
            TrafficEvent.CallRequest request = new TrafficEvent.CallRequest(
                    Optional.empty(),
                    "",
                    "GET",
                    "/open/x",
                    List.of(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty());
            state = reduce(
                            state,
                            new TrafficEvent.CallArrived(i, TrafficEvent.EntryPoint.CALLER, request),
                            state.lastEventAt())
                    .state();
            state = reduce(
                            state,
                            new TrafficEvent.AttemptEnded(i, 1, true, Signal.withoutOverload(0)),
                            state.lastEventAt())
                    .state();
        }
        return (System.nanoTime() - startedAt) / NANOS_PER_MICRO / CALLS;
    }

    /** Returns the mean time to handle an offered call at its target, from its arrival to its end, in microseconds. */
    private static double measureOffers(NodeState start) {
        NodeState state = start;
        CallHead head = new CallHead(
                "r",
                "root",
                "",
                "GET",
                "/x",
                List.of(),
                "",
                "service-0",
                "open",
                "",
                Importance.NORMAL,
                Importance.NORMAL,
                0,
                1_000,
                1_000,
                1,
                false,
                AttemptKind.FIRST,
                1);
        long startedAt = System.nanoTime();
        for (int i = 1; i <= CALLS; i++) {
            OfferKey key = new OfferKey(1, i);
            state = reduce(state, new TrafficEvent.OfferArrived(key, head), state.lastEventAt())
                    .state();
            state = reduce(
                            state,
                            new TrafficEvent.TargetEnded(key, TrafficEvent.TargetResult.ANSWERED),
                            state.lastEventAt())
                    .state();
        }
        return (System.nanoTime() - startedAt) / NANOS_PER_MICRO / CALLS;
    }

    /** Returns the size of a message on the wire, with its frame header. */
    private static int frameBytes(PeerMessage message) {
        ByteBuf buffer = Unpooled.buffer();
        WireCodec.write(FrameType.of(message), message, buffer);
        int bytes = buffer.readableBytes() + FRAME_HEADER_BYTES;
        buffer.release();
        return bytes;
    }

    /** Returns the name of a message in the printed table; the table keeps its names when classes are renamed. */
    private static String tableName(PeerMessage message) {
        if (message instanceof LoanRequest) {
            return "LoanAsk";
        }
        return message instanceof LeaseRenewalRequest
                ? "PromiseAsk"
                : message.getClass().getSimpleName();
    }

    private static List<PeerMessage> messages() {
        Owner owner = member(7).owner();
        List<LeaseClaim> claims = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            claims.add(new LeaseClaim(new LeaseId(LeaseId.Kind.SLOT, "service-17", i), 3));
        }
        PolicyPatch key = new PolicyPatch(
                "0b0c1f5e-6f0e-4f7e-9d0a-1f2e3d4c5b6a",
                1,
                "operator",
                "issue a key",
                List.of(),
                List.of(),
                List.of(new KeyGrant("a".repeat(64), "team-17")),
                List.of(),
                List.of(),
                List.of());
        return List.of(
                new Probe(member(1), 77, new GossipUpdate(List.of(), 12_345, 800)),
                new Probe(member(1), 77, new GossipUpdate(List.of(member(2), member(3)), 12_345, 800)),
                new ProbeAck(member(1), 77, new GossipUpdate(List.of(), 12_345, 800)),
                new LoanRequest(owner, new LeaseId(LeaseId.Kind.SHARE, "team-17", 3), 1_234, 20, 1_230),
                new LeaseRenewalRequest(owner, 99, claims),
                new PolicyPage(Optional.empty(), List.of(new PolicyVersion(12_345, key))));
    }
}
