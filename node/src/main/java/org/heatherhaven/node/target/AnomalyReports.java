package org.heatherhaven.node.target;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import org.heatherhaven.core.event.TrafficEvent.TargetAnomalySeen;
import org.heatherhaven.core.model.AnswerAnomaly;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.node.http.CallDialect;
import org.heatherhaven.node.http.ResponseVerdict;

/**
 * Reports what a target sends on one connection beside or instead of its answers, with the figures that tell how it came
 * about. Each kind is reported once a request, however often the target repeats it.
 */
final class AnomalyReports {

    private static final int MAX_SHOWN_CHARS = 64;

    private final CallDialect dialect;
    private final InstantSource clock;
    private final Consumer<TargetAnomalySeen> receiver;
    private final Set<AnswerAnomaly> reported = EnumSet.noneOf(AnswerAnomaly.class);
    private String lastRequestId = "none";
    private Instant requestSentAt = Instant.MIN;

    AnomalyReports(CallDialect dialect, InstantSource clock, Consumer<TargetAnomalySeen> receiver) {
        this.dialect = dialect;
        this.clock = clock;
        this.receiver = receiver;
    }

    /** Starts the reports of the next request; they bear its id until another one is sent. */
    void requestSent(String requestId) {
        reported.clear();
        lastRequestId = requestId;
        requestSentAt = clock.instant();
    }

    /** Reports bytes behind the end of a response, which was read with them. */
    void leftoverBytes(int bytes) {
        report(AnswerAnomaly.LEFTOVER_BYTES, () -> bytes + " bytes after the end of the response, " + sinceRequest());
    }

    /** Reports bytes on an idle connection that are no whole head. */
    void idleBytes(int bytes, Instant idleSince) {
        report(AnswerAnomaly.IDLE_BYTES, () -> idleTime(bytes, idleSince) + ", not decoded yet");
    }

    /** Reports a response, or bytes that are none, on an idle connection. */
    void idleObject(HttpObject message, int bytes, Instant idleSince) {
        report(AnswerAnomaly.IDLE_RESPONSE, () -> {
            boolean valid = message.decoderResult().isSuccess();
            return (valid && message instanceof HttpResponse response ? describe(response) : "not HTTP") + ", "
                    + idleTime(bytes, idleSince);
        });
    }

    /** Reports bytes that can't be decoded, within the given response if its head was read. */
    void undecodable(Throwable cause, Optional<HttpResponse> reading) {
        boolean overLimit = cause instanceof TooLongFrameException;
        report(
                AnswerAnomaly.INVALID,
                () -> (overLimit ? "over a limit: " : "not HTTP: ")
                        + cause.getClass().getSimpleName() + ", "
                        + reading.map(this::describe).orElse("in the head") + ", " + sinceRequest());
    }

    /** Reports a head that was cut off and continues with another one. */
    void mergedHeads(HttpResponse response) {
        report(
                AnswerAnomaly.INVALID,
                () -> "another response begins in the head, " + describe(response) + ", " + sinceRequest());
    }

    /** Reports a switch to another protocol, or a body with a status that has none. */
    void unexpectedForm(HttpResponse response) {
        report(
                AnswerAnomaly.INVALID,
                () -> "a switch of protocols or a body that the status rules out, " + describe(response) + ", "
                        + sinceRequest());
    }

    /** Reports more interim responses to one request than are accepted. */
    void tooManyInterimResponses(int count) {
        report(AnswerAnomaly.INVALID, () -> count + " interim responses, " + sinceRequest());
    }

    /** Reports a response to another call that is longer than what is discarded. */
    void otherCallTooLong(int maxBytes) {
        report(AnswerAnomaly.INVALID, () -> "more than " + maxBytes + " bytes for another call");
    }

    /** Reports a response whose connection failed or was closed before its end. */
    void brokenOff(String cause, HttpResponse response) {
        report(AnswerAnomaly.BROKEN_OFF, () -> cause + ", " + describe(response) + ", " + sinceRequest());
    }

    /** Reports the head of a response that is another call's, bears no id or was rejected; other heads are ignored. */
    void judged(ResponseVerdict verdict, CallHead call, HttpResponse response) {
        if (verdict == ResponseVerdict.OTHER_CALL) {
            report(
                    AnswerAnomaly.OTHER_CALL,
                    () -> describe(response) + ", " + sinceRequest() + ", attempt " + call.attemptKind());
        } else if (dialect.answersCarryRequestId()
                && dialect.responseId(response.headers()).isEmpty()) {
            report(
                    AnswerAnomaly.NO_ID,
                    () -> describe(response) + ", " + sinceRequest() + ", attempt " + call.attemptKind() + ", taken as "
                            + verdict);
        } else if (verdict == ResponseVerdict.INVALID) {
            report(
                    AnswerAnomaly.INVALID,
                    () -> "rejected for its head: " + describe(response) + ", content encoding "
                            + shorten(response.headers().get(HttpHeaderNames.CONTENT_ENCODING.toString(), "none")));
        }
    }

    private void report(AnswerAnomaly anomaly, Supplier<String> detail) {
        if (reported.add(anomaly)) {
            receiver.accept(new TargetAnomalySeen(lastRequestId, anomaly, detail.get()));
        }
    }

    private String describe(HttpResponse response) {
        String id = dialect.responseId(response.headers()).orElse("none");
        return "status " + response.status().code() + ", id " + shorten(id) + ", " + length(response);
    }

    private static String length(HttpResponse response) {
        if (HttpUtil.isTransferEncodingChunked(response)) {
            return "chunked";
        }
        return HttpUtil.isContentLengthSet(response) ? "with a length" : "no length";
    }

    private static String shorten(String value) {
        return value.substring(0, Math.min(value.length(), MAX_SHOWN_CHARS));
    }

    private String sinceRequest() {
        return Duration.between(requestSentAt, clock.instant()).toMillis() + " ms after request " + lastRequestId;
    }

    private String idleTime(int bytes, Instant idleSince) {
        return bytes + " bytes in "
                + Duration.between(idleSince, clock.instant()).toMillis() + " ms since the answer to " + lastRequestId;
    }
}
