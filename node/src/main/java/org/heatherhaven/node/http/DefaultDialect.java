package org.heatherhaven.node.http;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.apache.commons.codec.digest.DigestUtils;
import org.heatherhaven.core.event.TrafficEvent.CallRequest;
import org.heatherhaven.core.event.TrafficEvent.EntryPoint;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Header;
import org.heatherhaven.core.model.Outcome;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.TargetRef;

/** The dialect of heatherhaven's own HTTP interface. Refusals are problem details (RFC 9457). */
public final class DefaultDialect implements CallDialect {

    /**
     * Header that carries the context id to the target and back with the calls that the target makes. A target may also
     * return it in its response.
     */
    public static final String CONTEXT_HEADER = "Heatherhaven-Context";

    /** Header with the time until the caller stops waiting for the response, milliseconds. */
    public static final String TIMEOUT_HEADER = "Request-Timeout-Ms";

    private static final String REQUEST_ID_HEADER = "Heatherhaven-Request-Id";
    private static final String POLICY_HEADER = "Heatherhaven-Policy-Version";
    private static final String OUTCOME_HEADER = "Heatherhaven-Outcome";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final EndToEndHeaders HEADER_FILTER =
            new EndToEndHeaders(name -> name.startsWith("heatherhaven-") || name.equals("request-timeout-ms"));
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long MILLIS_PER_SECOND = 1_000;

    @Override
    public Optional<String> requestId(HttpHeaders headers) {
        // Callers give no identifiers in this dialect; the entry node assigns one to each call.
        return Optional.empty();
    }

    @Override
    public CallRequest readRequest(EntryPoint entryPoint, String method, String uri, HttpHeaders headers) {
        return new CallRequest(
                Optional.empty(),
                hostName(headers),
                method,
                uri,
                HEADER_FILTER.endToEnd(headers),
                BearerKey.of(headers).map(DigestUtils::sha256Hex),
                Optional.ofNullable(headers.get(CONTEXT_HEADER)).filter(id -> entryPoint == EntryPoint.TARGET),
                Optional.ofNullable(headers.get(TIMEOUT_HEADER)).map(DefaultDialect::timeout),
                Optional.ofNullable(headers.get(IDEMPOTENCY_KEY)));
    }

    /**
     * Returns the requested host in the form that routes are looked up by.
     *
     * @param headers headers of the request
     * @return host in lower case without a port; empty if the Host header is missing
     */
    public static String hostName(HttpHeaders headers) {
        String host = headers.get(HttpHeaderNames.HOST, "").toLowerCase(Locale.ROOT);
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    /** Parses a timeout, a positive number of milliseconds. */
    private static Duration timeout(String value) {
        try {
            long millis = Long.parseLong(value.trim());
            if (millis > 0) {
                return Duration.ofMillis(millis);
            }
        } catch (NumberFormatException e) {
            throw new BadCallException("the timeout is not a number of milliseconds");
        }
        throw new BadCallException("the timeout is not a positive number of milliseconds");
    }

    @Override
    public void addTargetHeaders(HttpHeaders out, CallHead head, TargetRef target, String context, Duration timeout) {
        out.set(HttpHeaderNames.HOST, target.address());
        out.set(CONTEXT_HEADER, context);
        out.set(TIMEOUT_HEADER, Long.toString(timeout.toMillis()));
    }

    @Override
    public boolean answersCarryRequestId() {
        return false;
    }

    @Override
    public Optional<String> responseId(HttpHeaders headers) {
        return Optional.ofNullable(headers.get(CONTEXT_HEADER));
    }

    @Override
    public ResponseVerdict classifyResponse(CallHead head, String context, int status, HttpHeaders headers) {
        // Targets need not return the context id.
        if (!headers.get(CONTEXT_HEADER, context).equals(context)) {
            return ResponseVerdict.OTHER_CALL;
        }
        return status == SERVICE_UNAVAILABLE ? ResponseVerdict.OVERLOADED : ResponseVerdict.VALID;
    }

    @Override
    public List<Header> responseHeaders(HttpHeaders headers) {
        return HEADER_FILTER.endToEnd(headers);
    }

    @Override
    public void addCallerHeaders(HttpHeaders out, CallHead head) {
        out.set(REQUEST_ID_HEADER, head.requestId())
                .set(POLICY_HEADER, head.policyVersion())
                .set(OUTCOME_HEADER, Outcome.RUN.label());
    }

    @Override
    public FullHttpResponse writeRefusal(Refusal refusal, String requestId, long policyVersion) {
        ObjectNode problem = JSON.createObjectNode();
        problem.put("type", "about:blank");
        problem.put("title", refusal.reason().label());
        problem.put("status", refusal.reason().status());
        problem.put("detail", refusal.detail());
        problem.put("reason", refusal.reason().label());
        problem.put("outcome", refusal.outcome().label());
        problem.put("retry_after_ms", refusal.retryAfter().toMillis());
        problem.put("request_id", requestId);
        problem.put("policy_version", policyVersion);
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(refusal.reason().status()),
                Unpooled.wrappedBuffer(toJson(problem)));
        long seconds = (refusal.retryAfter().toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json")
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                .set(HttpHeaderNames.RETRY_AFTER, seconds)
                .set(REQUEST_ID_HEADER, requestId)
                .set(POLICY_HEADER, policyVersion)
                .set(OUTCOME_HEADER, refusal.outcome().label());
        return response;
    }

    private static byte[] toJson(ObjectNode problem) {
        try {
            return JSON.writeValueAsBytes(problem);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree of plain values can't be written", e);
        }
    }
}
