package org.heatherhaven.node.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import org.heatherhaven.core.event.TrafficEvent.CallRequest;
import org.heatherhaven.core.event.TrafficEvent.EntryPoint;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Header;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.TargetRef;
import org.heatherhaven.node.http.BadCallException;
import org.heatherhaven.node.http.CallDialect;
import org.heatherhaven.node.http.DefaultDialect;
import org.heatherhaven.node.http.ResponseVerdict;

/** The default dialect for callers that identify their requests by an {@code Id} header, which answers repeat. */
final class IdentifyingDialect implements CallDialect {

    private static final String ID = "Id";

    private final DefaultDialect base = new DefaultDialect();

    @Override
    public Optional<String> requestId(HttpHeaders headers) {
        return Optional.ofNullable(headers.get(ID));
    }

    @Override
    public CallRequest readRequest(EntryPoint entryPoint, String method, String uri, HttpHeaders headers) {
        if (headers.contains("Bad")) {
            throw new BadCallException("a header is not valid");
        }
        CallRequest request = base.readRequest(entryPoint, method, uri, headers);
        return new CallRequest(
                requestId(headers),
                request.host(),
                request.method(),
                request.path(),
                request.headers(),
                request.keyHash(),
                request.context(),
                request.timeout(),
                request.idempotencyKey());
    }

    @Override
    public void addTargetHeaders(HttpHeaders out, CallHead head, TargetRef target, String context, Duration timeout) {
        base.addTargetHeaders(out, head, target, context, timeout);
    }

    @Override
    public ResponseVerdict classifyResponse(CallHead head, String context, int status, HttpHeaders headers) {
        return base.classifyResponse(head, context, status, headers);
    }

    @Override
    public boolean answersCarryRequestId() {
        return base.answersCarryRequestId();
    }

    @Override
    public Optional<String> responseId(HttpHeaders headers) {
        return base.responseId(headers);
    }

    @Override
    public List<Header> responseHeaders(HttpHeaders headers) {
        return base.responseHeaders(headers);
    }

    @Override
    public void addCallerHeaders(HttpHeaders out, CallHead head) {
        out.set(ID, head.requestId());
    }

    @Override
    public FullHttpResponse writeRefusal(Refusal refusal, String requestId, long policyVersion) {
        FullHttpResponse response = base.writeRefusal(refusal, requestId, policyVersion);
        response.headers().set(ID, requestId);
        return response;
    }
}
