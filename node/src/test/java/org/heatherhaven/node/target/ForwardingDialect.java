package org.heatherhaven.node.target;

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
import org.heatherhaven.node.http.CallDialect;

/** Forwards all methods but {@code classifyResponse} to another dialect, so that a test can replace that method. */
abstract class ForwardingDialect implements CallDialect {

    private final CallDialect delegate;

    ForwardingDialect(CallDialect delegate) {
        this.delegate = delegate;
    }

    @Override
    public Optional<String> requestId(HttpHeaders headers) {
        return delegate.requestId(headers);
    }

    @Override
    public CallRequest readRequest(EntryPoint entryPoint, String method, String uri, HttpHeaders headers) {
        return delegate.readRequest(entryPoint, method, uri, headers);
    }

    @Override
    public void addTargetHeaders(HttpHeaders out, CallHead head, TargetRef target, String context, Duration timeout) {
        delegate.addTargetHeaders(out, head, target, context, timeout);
    }

    @Override
    public boolean answersCarryRequestId() {
        return delegate.answersCarryRequestId();
    }

    @Override
    public Optional<String> responseId(HttpHeaders headers) {
        return delegate.responseId(headers);
    }

    @Override
    public List<Header> responseHeaders(HttpHeaders headers) {
        return delegate.responseHeaders(headers);
    }

    @Override
    public void addCallerHeaders(HttpHeaders out, CallHead head) {
        delegate.addCallerHeaders(out, head);
    }

    @Override
    public FullHttpResponse writeRefusal(Refusal refusal, String requestId, long policyVersion) {
        return delegate.writeRefusal(refusal, requestId, policyVersion);
    }
}
