package org.heatherhaven.node.target;

import java.time.Duration;
import java.util.List;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import org.heatherhaven.core.event.TrafficEvent.CallRequest;
import org.heatherhaven.core.event.TrafficEvent.EntryPoint;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Header;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.TargetRef;
import org.heatherhaven.node.http.CallDialect;

/** A dialect of which a test changes a part. */
abstract class ForwardingDialect implements CallDialect {

    private final CallDialect other;

    ForwardingDialect(CallDialect other) {
        this.other = other;
    }

    @Override
    public CallRequest readRequest(EntryPoint door, String method, String uri, HttpHeaders headers) {
        return other.readRequest(door, method, uri, headers);
    }

    @Override
    public void addTargetHeaders(HttpHeaders out, CallHead head, TargetRef target, String context, Duration timeout) {
        other.addTargetHeaders(out, head, target, context, timeout);
    }

    @Override
    public List<Header> responseHeaders(HttpHeaders headers) {
        return other.responseHeaders(headers);
    }

    @Override
    public void addCallerHeaders(HttpHeaders out, CallHead head) {
        other.addCallerHeaders(out, head);
    }

    @Override
    public FullHttpResponse writeRefusal(Refusal refusal, String requestId, long policyVersion) {
        return other.writeRefusal(refusal, requestId, policyVersion);
    }
}
