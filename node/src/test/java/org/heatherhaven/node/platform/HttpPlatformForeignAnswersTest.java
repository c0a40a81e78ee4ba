package org.heatherhaven.node.platform;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

/** Guards that no call to the platform completes with the answer to another call, or with a part of an answer. */
class HttpPlatformForeignAnswersTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Duration SHORT_TIMEOUT = Duration.ofSeconds(2);
    private static final String ANSWER_A = ScriptedPlatform.answer(200, 5, "\"a\"");
    private static final String ANSWER_B = ScriptedPlatform.answer(200, 7, "\"b\"");
    private static final String CHANGED = ScriptedPlatform.answer(412, 0, "");
    private static final String EMPTY_LIST = ScriptedPlatform.answer(200, 0, "[]");
    private static final String LIST =
            ScriptedPlatform.answer(200, 0, "[{\"key\":\"policy/versions/000000000008\",\"version\":8,\"value\":{}}]");
    private static final byte[] VALUE = "\"new\"".getBytes(StandardCharsets.UTF_8);

    private final EventLoopGroup group = new NioEventLoopGroup(1);

    @AfterTry
    void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Use of a client. */
    private interface Calls {
        void run(HttpPlatform client) throws Exception;
    }

    /** Runs calls against a platform that plays a script on each connection. */
    private void play(List<List<String>> scripts, Calls calls) throws Exception {
        play(TIMEOUT, scripts, calls);
    }

    private void play(Duration timeout, List<List<String>> scripts, Calls calls) throws Exception {
        try (ScriptedPlatform platform = new ScriptedPlatform(scripts);
                HttpPlatform client = new HttpPlatform(platform.url(), timeout, group, () -> {})) {
            calls.run(client);
        }
    }

    private static String read(HttpPlatform client, String key) {
        return new String(client.get(key).join().orElseThrow().value(), StandardCharsets.UTF_8);
    }

    private static int listedVersions(HttpPlatform client) {
        return client.list("policy/versions/", "", 200, Duration.ofMillis(100))
                .join()
                .size();
    }

    private static void expect(Object expected, Object seen) {
        if (!expected.equals(seen)) {
            throw new AssertionError("expected " + expected + ", saw " + seen);
        }
    }

    private static void expectFailure(CompletableFuture<?> call) {
        try {
            throw new AssertionError("completed with " + call.join());
        } catch (CompletionException e) {
            return;
        }
    }

    @Example
    void aSecondCopyOfAReadIsNotTakenForTheNextRead() throws Exception {
        play(List.of(List.of(ANSWER_A, ANSWER_A + ANSWER_B), List.of(ANSWER_B)), client -> {
            expect("\"a\"", read(client, "members/a"));
            expect("\"b\"", read(client, "members/b"));
        });
    }

    @Example
    void aSecondCopyOfAnUpdateDoesNotConfirmTheNextUpdate() throws Exception {
        play(List.of(List.of(ANSWER_A, ANSWER_A + CHANGED), List.of(CHANGED)), client -> {
            expect(OptionalLong.of(5), client.update("members/a", VALUE, 4).join());
            expect(OptionalLong.empty(), client.update("members/a", VALUE, 5).join());
        });
    }

    @Example
    void aSecondCopyOfAnEmptyWatchDoesNotConfirmThatThereIsNoNewerVersion() throws Exception {
        play(List.of(List.of(EMPTY_LIST, EMPTY_LIST + LIST), List.of(LIST)), client -> {
            expect(0, listedVersions(client));
            expect(1, listedVersions(client));
        });
    }

    @Example
    void theBeginOfASecondCopyIsNotTakenForTheHeadOfTheNextAnswer() throws Exception {
        String absent = ScriptedPlatform.answer(404, 0, "");
        play(List.of(List.of(absent + "HTTP/1.1 404 Scripted\r\nContent-Le", ANSWER_B), List.of(ANSWER_B)), client -> {
            expect(Optional.empty(), client.get("members/a").join());
            expect("\"b\"", read(client, "members/b"));
        });
    }

    @Example
    void anAnswerAfterTheTimeoutIsNotTakenForTheNextCall() throws Exception {
        play(SHORT_TIMEOUT, List.of(List.of("", ANSWER_A + ANSWER_B), List.of(ANSWER_B)), client -> {
            expectFailure(client.get("members/a"));
            expect("\"b\"", read(client, "members/b"));
        });
    }

    @Example
    void aBodyShorterThanItsLengthIsAFailure() throws Exception {
        String cut = ANSWER_A.substring(0, ANSWER_A.length() - 1) + ScriptedPlatform.CLOSE;
        play(List.of(List.of(cut)), client -> expectFailure(client.get("members/a")));
    }

    @Example
    void aListWithoutALengthThatEndsBeforeItsFirstByteIsAFailure() throws Exception {
        String cut = "HTTP/1.1 200 OK\r\n\r\n" + ScriptedPlatform.CLOSE;
        play(List.of(List.of(cut)), client -> expectFailure(client.list("members/", "", 100, Duration.ofMillis(100))));
    }
}
