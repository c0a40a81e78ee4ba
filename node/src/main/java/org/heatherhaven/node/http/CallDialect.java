package org.heatherhaven.node.http;

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

/** How callers and targets write what a node needs to know: names of headers, and the form of refusals. */
public interface CallDialect {

    /**
     * Reads the head of a call.
     *
     * @param door where the call comes from
     * @param method HTTP method
     * @param uri path with query
     * @param headers all headers as received
     * @return what the caller asks for
     * @throws BadCallException if a header can't be read
     */
    CallRequest readRequest(EntryPoint door, String method, String uri, HttpHeaders headers);

    /**
     * Adds what the target shall know of a call.
     *
     * @param out headers of the request to the target, with the caller's own headers in place
     * @param head the call
     * @param target the process life that shall run it
     * @param context context id that the target may send with its own calls
     * @param timeout time left
     */
    void addTargetHeaders(HttpHeaders out, CallHead head, TargetRef target, String context, Duration timeout);

    /**
     * Judges the head of an answer.
     *
     * @param head the call that was sent
     * @param status HTTP status
     * @param headers headers of the answer
     * @return what the answer means
     */
    ResponseVerdict classifyResponse(CallHead head, int status, HttpHeaders headers);

    /**
     * Headers of an answer that travel back to the caller.
     *
     * @param headers headers as received from the target
     * @return what is passed on
     */
    List<Header> responseHeaders(HttpHeaders headers);

    /**
     * Adds what the caller shall know of the answer to its call.
     *
     * @param out headers of the answer, with the target's own in place
     * @param head the call
     */
    void addCallerHeaders(HttpHeaders out, CallHead head);

    /**
     * Writes a refusal.
     *
     * @param refusal the refusal
     * @param requestId identifier of the request
     * @param policyVersion version that judged it
     * @return the whole answer
     */
    FullHttpResponse writeRefusal(Refusal refusal, String requestId, long policyVersion);
}
