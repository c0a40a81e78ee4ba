package org.heatherhaven.node;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.CharsetUtil;
import io.netty.util.ReferenceCountUtil;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.event.PlatformEvent;
import org.heatherhaven.core.event.TrafficEvent;
import org.heatherhaven.core.event.TrafficEvent.CallRequest;
import org.heatherhaven.core.event.TrafficEvent.Door;
import org.heatherhaven.core.event.TrafficEvent.TargetResult;
import org.heatherhaven.core.logic.node.NodeReducer;
import org.heatherhaven.core.logic.node.NodeRules;
import org.heatherhaven.core.logic.node.NodeState;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.MemberStatus;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.Route;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.core.model.Zone;
import org.heatherhaven.node.http.CallDialect;
import org.heatherhaven.node.wire.AnswerEnd;
import org.heatherhaven.node.wire.AnswerHead;
import org.heatherhaven.node.wire.Frame;
import org.heatherhaven.node.wire.FrameCodec;
import org.heatherhaven.node.wire.FrameType;
import org.heatherhaven.node.wire.OfferHead;

/**
 * Takes made-up calls through the steps of a call before the first real one comes, so that the code is compiled by then.
 *
 * <p>Nothing leaves the process and no state is kept: the reducer is pure, and the codecs work on channels without
 * sockets.
 */
final class Rehearsal {

    private static final int CALLS = 400;
    private static final int FRAME_BYTES = 1 << 20;
    private static final String PATH = "/rehearsal/";
    private static final String SERVICE = "rehearsal";
    private static final byte[] REQUEST =
            ("GET " + PATH + "x HTTP/1.1\r\nHost: rehearsal\r\nAccept: */*\r\n\r\n").getBytes(CharsetUtil.US_ASCII);

    private final CallDialect dialect;
    private final EmbeddedChannel http = new EmbeddedChannel(new HttpServerCodec());
    private final EmbeddedChannel peer = new EmbeddedChannel(new FrameCodec(FRAME_BYTES));
    private NodeState state;
    private Instant now;

    private Rehearsal(CallDialect dialect, Instant now) {
        this.dialect = dialect;
        this.now = now;
        Member self = new Member(
                new NodeId("127.0.0.1:1"),
                now.toEpochMilli(),
                0,
                MemberStatus.ALIVE,
                new Zone(SERVICE, SERVICE),
                SERVICE,
                CALLS);
        this.state = NodeState.start(NodeRules.defaults(1), self, now);
    }

    /**
     * Rehearses.
     *
     * @param dialect how callers and targets are spoken to
     * @param now the time
     */
    static void run(CallDialect dialect, Instant now) {
        Rehearsal rehearsal = new Rehearsal(dialect, now);
        rehearsal.step(new PlatformEvent.PolicyRead(Optional.of(policy()), List.of(), 0));
        for (int call = 1; call <= CALLS; call++) {
            rehearsal.call(call);
        }
        rehearsal.http.finishAndReleaseAll();
        rehearsal.peer.finishAndReleaseAll();
    }

    private static PolicySnapshot policy() {
        Route route = new Route(
                SERVICE, PATH, SERVICE, Importance.NORMAL, false, true, new Route.Limits(Duration.ofSeconds(1), 1));
        return new PolicySnapshot(1, List.of(), List.of(route), List.of());
    }

    private List<Effect> step(Event event) {
        now = now.plusMillis(1);
        NodeReducer.Result result = NodeReducer.reduce(state, event, now);
        state = result.state();
        return result.effects();
    }

    private void call(int number) {
        CallRequest request = new CallRequest(
                Optional.of("rehearsal-" + number),
                SERVICE,
                "GET",
                PATH + "x",
                List.of(),
                Optional.empty(),
                Optional.empty(),
                Optional.of(Duration.ofSeconds(1)),
                Optional.empty());
        readRequest();
        for (Effect effect : step(new TrafficEvent.CallArrived(number, Door.CALLER, request))) {
            if (effect instanceof Effect.ForwardCall forward) {
                guard(number, forward.head());
                step(new TrafficEvent.AttemptEnded(number, forward.attempt(), true, Signal.calm(0)));
            }
        }
    }

    private void guard(int number, CallHead head) {
        OfferKey key = new OfferKey(1, number);
        travel(Frame.of(FrameType.OFFER, number, new OfferHead(head, false)));
        step(new TrafficEvent.OfferArrived(key, head));
        step(new TrafficEvent.TargetEnded(key, TargetResult.ANSWERED));
        travel(Frame.of(FrameType.ANSWER, number, new AnswerHead(200, List.of())));
        travel(Frame.of(FrameType.END, number, new AnswerEnd(true, Signal.calm(0))));
    }

    private void readRequest() {
        http.writeInbound(Unpooled.wrappedBuffer(REQUEST));
        Object message = http.readInbound();
        while (message != null) {
            if (message instanceof HttpRequest head) {
                dialect.answerHeaders(head.headers());
            }
            ReferenceCountUtil.release(message);
            message = http.readInbound();
        }
    }

    private void travel(Frame frame) {
        peer.writeOutbound(frame);
        peer.writeInbound((Object) peer.readOutbound());
        peer.readInbound();
    }
}
