package org.heatherhaven.node.entry;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.netty.buffer.Unpooled;
import net.jqwik.api.Example;
import org.heatherhaven.core.event.TrafficEvent.AttemptLost;
import org.heatherhaven.core.event.TrafficEvent.CallArrived;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Signal;
import org.heatherhaven.node.wire.AnswerHead;
import org.heatherhaven.node.wire.Frame;
import org.heatherhaven.node.wire.FrameType;
import org.heatherhaven.node.wire.ReplyHead;

/**
 * The entry node passes on no status that is none, whatever the node beside the target let through, and takes no request
 * line of another protocol.
 */
class StatusFramesTest {

    private static final List<Integer> NO_FINAL_STATUSES = List.of(20, 2000, 0, -1, 99, 100, 101, 199, 600, 999);

    /** Ends a test whose answer never comes; no result depends on it. */
    private static final int GIVE_UP_MS = 10_000;

    private static Frame head(long stream, int status) {
        return Frame.of(FrameType.ANSWER, stream, new AnswerHead(status, List.of()));
    }

    private static Frame reply(long stream, int status) {
        ReplyHead reply = new ReplyHead(new AnswerHead(status, List.of()), Signal.withoutOverload(0));
        return Frame.reply(stream, reply, Unpooled.EMPTY_BUFFER);
    }

    /** Plays an attempt whose answer bears a bad status, and a second one that is answered with 200. */
    private static void badStatusIsNotPassedOn(Frame bad) throws IOException {
        try (EntryFixture entry =
                new EntryFixture(10, (stream, offer) -> List.of(stream == 1 ? bad : reply(stream, 200)))) {
            Socket caller = entry.send("GET /x HTTP/1.1\r\nHost: a\r\nId: mine\r\nConnection: close\r\n\r\n");
            long call = ((CallArrived) entry.next()).call();
            entry.calls().forward(EntryFixture.forward(call, 1, entry.peer(), "mine"));
            if (!(entry.next() instanceof AttemptLost lost) || lost.outcome() != Outcome.UNKNOWN) {
                throw new AssertionError("the attempt is not lost with an unknown outcome");
            }
            entry.calls().forward(EntryFixture.forward(call, 2, entry.peer(), "mine"));
            String answer = EntryFixture.readAll(caller);
            if (!answer.startsWith("HTTP/1.1 200 ")) {
                throw new AssertionError("the caller got " + answer);
            }
        }
    }

    /** Clients got status lines such as "HTTP/1.1 20 Unknown Status (20)". */
    @Example
    void aFrameWhoseStatusIsNoneLosesTheAttempt() throws IOException {
        for (int status : NO_FINAL_STATUSES) {
            badStatusIsNotPassedOn(reply(1, status));
            badStatusIsNotPassedOn(head(1, status));
        }
    }

    /** Such a path was sent on in another encoding, so that the target ran a request that nobody sent. */
    @Example
    void aPathWithAByteThatNoRequestLineHoldsIsABadRequest() throws IOException {
        try (EntryFixture entry = new EntryFixture(10, (stream, offer) -> List.of())) {
            for (String path :
                    List.of("/\u00e9", "/caf\u00c3\u00a9", "/x?y=\u00ff", "/a\u0001", "/a\u007f", "/\u0080")) {
                Socket caller = entry.send("GET " + path + " HTTP/1.1\r\nHost: a\r\nId: mine\r\n\r\n");
                caller.setSoTimeout(GIVE_UP_MS);
                String answer = EntryFixture.readAll(caller);
                if (!answer.startsWith("HTTP/1.1 400 ")) {
                    throw new AssertionError("after " + path + " the caller got " + answer);
                }
            }
        }
    }

    @Example
    void everyByteThatIsValidInARequestLineIsPassedOn() throws IOException {
        String path =
                IntStream.rangeClosed('!', '~').mapToObj(Character::toString).collect(Collectors.joining("", "/", ""));
        try (EntryFixture entry = new EntryFixture(10, (stream, offer) -> List.of())) {
            entry.send("GET " + path + " HTTP/1.1\r\nHost: a\r\nId: mine\r\n\r\n");
            if (!((CallArrived) entry.next()).request().path().equals(path)) {
                throw new AssertionError("the path was changed");
            }
        }
    }

    @Example
    void aRequestLineOfAnotherProtocolIsABadRequest() throws IOException {
        try (EntryFixture entry = new EntryFixture(10, (stream, offer) -> List.of())) {
            for (String version : List.of("HTTP/2.0", "HTTP/0.9", "HTTP/11.1", "HTP/1.1", "ICY/1.0", "HTTP/1.1.1")) {
                Socket caller = entry.send("GET /x " + version + "\r\nHost: a\r\nId: mine\r\n\r\n");
                caller.setSoTimeout(GIVE_UP_MS);
                String answer = EntryFixture.readAll(caller);
                if (!answer.startsWith("HTTP/1.1 400 ")) {
                    throw new AssertionError("after " + version + " the caller got " + answer);
                }
            }
        }
    }
}
