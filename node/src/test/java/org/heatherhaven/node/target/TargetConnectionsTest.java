package org.heatherhaven.node.target;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.heatherhaven.core.effect.Effect.RunOffer;
import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.event.TrafficEvent.TargetResult;
import org.heatherhaven.core.model.AttemptKind;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Header;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.TargetRef;
import org.heatherhaven.node.http.DefaultDialect;
import org.heatherhaven.node.http.ResponseVerdict;

/** Whatever a target sends, a call gets its own whole answer or none. */
class TargetConnectionsTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final TargetConnections connections =
            new TargetConnections(new Dialect(), group.next(), InstantSource.system());

    /** Knows answers by an id, and refusals that prove that nothing ran. */
    private static final class Dialect extends ForwardingDialect {

        private Dialect() {
            super(new DefaultDialect());
        }

        @Override
        public ResponseVerdict classifyResponse(CallHead head, int status, HttpHeaders headers) {
            if (!headers.get("Id", head.requestId()).equals(head.requestId())) {
                return ResponseVerdict.OTHER_CALL;
            }
            return headers.contains("Not-Run") ? ResponseVerdict.NOT_RUN : ResponseVerdict.VALID;
        }
    }

    /** What became of a call. */
    private record Outcome(TargetResult result, int status, String body) {}

    private static final class Listener implements AnswerListener {

        private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
        private final StringBuilder body = new StringBuilder();
        private int status;

        @Override
        public void answered(int answerStatus, List<Header> headers) {
            status = answerStatus;
        }

        @Override
        public void received(ByteBuf data) {
            body.append(data.toString(StandardCharsets.ISO_8859_1));
            data.release();
        }

        @Override
        public void bodyTaken(int bytes) {}

        @Override
        public void over(TargetResult result) {
            outcome.complete(new Outcome(result, status, body.toString()));
        }
    }

    private Outcome call(ScriptedTarget target, String id, boolean unrepeatable) {
        Listener listener = new Listener();
        CallHead head = new CallHead(
                id,
                id,
                "",
                "GET",
                "/x",
                List.of(),
                "",
                "s",
                "r",
                "",
                Importance.HIGH,
                Importance.HIGH,
                0,
                1_000,
                200,
                0,
                unrepeatable,
                AttemptKind.FIRST,
                1);
        RunOffer order = new RunOffer(new OfferKey(1, 1), new TargetRef("i", target.address()), "c", TIMEOUT);
        connections.send(head, false, order, listener);
        return listener.outcome.join();
    }

    private static String answer(String id, String body) {
        return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static void expect(Object expected, Object seen) {
        if (!expected.equals(seen)) {
            throw new AssertionError("expected " + expected + ", saw " + seen);
        }
    }

    @AfterTry
    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Example
    void aConnectionServesOneCallAfterAnother() throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(List.of(List.of(answer("a", "one"), answer("b", "two"))))) {
            expect(new Outcome(TargetResult.ANSWERED, 200, "one"), call(target, "a", false));
            expect(new Outcome(TargetResult.ANSWERED, 200, "two"), call(target, "b", false));
            expect(1, target.connections());
        }
    }

    @Example
    void aLateAnswerToAnotherCallIsPassedOver() throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(
                List.of(List.of(answer("old", "stale") + answer("a", "mine")), List.of(answer("b", "b"))))) {
            expect(new Outcome(TargetResult.ANSWERED, 200, "mine"), call(target, "a", true));
            expect(new Outcome(TargetResult.ANSWERED, 200, "b"), call(target, "b", false));
            expect(2, target.connections());
        }
    }

    @Example
    void bytesAfterAWholeAnswerSpoilTheConnectionAndNoCall() throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(
                List.of(List.of(answer("a", "one") + answer("a", "one")), List.of(answer("b", "two"))))) {
            expect(new Outcome(TargetResult.ANSWERED, 200, "one"), call(target, "a", false));
            expect(new Outcome(TargetResult.ANSWERED, 200, "two"), call(target, "b", false));
        }
    }

    @Example
    void anAnswerThatBreaksOffIsNotWhole() throws IOException {
        String broken = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc";
        try (ScriptedTarget target = new ScriptedTarget(List.of(List.of(broken + ScriptedTarget.CLOSE)))) {
            expect(TargetResult.FAILED, call(target, "a", false).result());
        }
    }

    @Example
    void anAnswerWithoutLengthIsWholeOnlyIfItsConnectionIsClosedInOrder() throws IOException {
        String unframed = "HTTP/1.1 200 OK\r\n\r\nabc";
        try (ScriptedTarget target = new ScriptedTarget(
                List.of(List.of(unframed + ScriptedTarget.CLOSE), List.of(unframed + ScriptedTarget.RESET)))) {
            expect(new Outcome(TargetResult.ANSWERED, 200, "abc"), call(target, "a", false));
            expect(TargetResult.FAILED, call(target, "b", false).result());
        }
    }

    @Example
    void bytesThatAreNoAnswerFailTheCall() throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(List.of(List.of("what is this?\r\n\r\n")))) {
            expect(TargetResult.FAILED, call(target, "a", false).result());
        }
    }

    @Example
    void aRefusalWithProofIsTold() throws IOException {
        String refusal = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        try (ScriptedTarget target = new ScriptedTarget(List.of(List.of(refusal)))) {
            expect(TargetResult.REFUSED, call(target, "a", true).result());
        }
    }

    @Example
    void whereNobodyListensNothingWasSent() throws IOException {
        ScriptedTarget target = new ScriptedTarget(List.of(List.of()));
        target.close();
        expect(TargetResult.NOT_SENT, call(target, "a", true).result());
    }

    @Example
    void anInterimAnswerIsNotTheAnswer() throws IOException {
        String interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
        try (ScriptedTarget target = new ScriptedTarget(List.of(List.of(interim + answer("a", "one"))))) {
            expect(new Outcome(TargetResult.ANSWERED, 200, "one"), call(target, "a", true));
        }
    }

    @Example
    void interimAnswersWithoutEndFailTheCallAtOnce() throws IOException {
        failsAtOnce(
                TargetResult.FAILED,
                "HTTP/1.1 102 Processing\r\n\r\n" + ScriptedTarget.ENDLESS + "HTTP/1.1 102 Processing\r\n\r\n");
    }

    @Example
    void aHeadWithoutEndFailsTheCallAtOnce() throws IOException {
        failsAtOnce(TargetResult.FAILED, "HTTP/1.1 200 OK\r\n" + ScriptedTarget.ENDLESS + "X-Again: and again\r\n");
        failsAtOnce(TargetResult.FAILED, "HTTP/1.1 200 " + ScriptedTarget.ENDLESS + "OK and still OK ");
        failsAtOnce(TargetResult.FAILED, "what" + ScriptedTarget.ENDLESS + " is this?\r\n\r\n");
    }

    @Example
    void aRefusalWhoseBodyHasNoEndIsTakenAtItsWordAndItsConnectionClosed() throws IOException {
        failsAtOnce(TargetResult.REFUSED, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n\r\n" + ScriptedTarget.ENDLESS + "busy ");
    }

    @Example
    void anAnswerToAnotherCallWithoutEndFailsTheCallAtOnce() throws IOException {
        failsAtOnce(TargetResult.FAILED, "HTTP/1.1 200 OK\r\nId: old\r\n\r\n" + ScriptedTarget.ENDLESS + "stale ");
    }

    /** Not by its timeout, and the next call finds a connection of its own. */
    private void failsAtOnce(TargetResult expected, String script) throws IOException {
        try (ScriptedTarget target = new ScriptedTarget(List.of(List.of(script), List.of(answer("b", "two"))))) {
            expect(expected, call(target, "a", true).result());
            expect(new Outcome(TargetResult.ANSWERED, 200, "two"), call(target, "b", false));
            expect(2, target.connections());
        }
    }
}
