package org.heatherhaven.node.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.heatherhaven.core.model.Refusal;

/** Writes refusals as problem details, RFC 9457. */
final class Refusals {

    static final String REQUEST_ID_HEADER = "Heatherhaven-Request-Id";
    static final String POLICY_HEADER = "Heatherhaven-Policy-Version";
    static final String OUTCOME_HEADER = "Heatherhaven-Outcome";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1_000;

    private Refusals() {}

    static FullHttpResponse response(Refusal refusal, String requestId, long policyVersion) {
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
                Unpooled.wrappedBuffer(bytes(problem)));
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

    /** Writes the last answer of a connection. */
    static void writeAndClose(Channel channel, HttpResponse response) {
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private static byte[] bytes(ObjectNode problem) {
        try {
            return JSON.writeValueAsBytes(problem);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of plain values can't be written", e);
        }
    }
}
