package org.heatherhaven.node.http;

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

/** The HTTP conventions between a node and its callers and target: header names, and the form of refusals. */
public interface CallDialect {

    /**
     * Returns the identifier that a caller gave its request, for an answer to a request that can't be read as a call.
     *
     * @param headers headers of the request, as far as they were read
     * @return the identifier, or empty if the request has none
     */
    Optional<String> requestId(HttpHeaders headers);

    /**
     * Reads the head of a call.
     *
     * @param entryPoint listener that received the call
     * @param method HTTP method
     * @param uri path with query
     * @param headers all headers as received
     * @return the call as requested by the caller
     * @throws BadCallException if a header is missing or not valid
     */
    CallRequest readRequest(EntryPoint entryPoint, String method, String uri, HttpHeaders headers);

    /**
     * Adds the node's headers to a request to the target.
     *
     * @param out headers of the request, which already contain the caller's end-to-end headers
     * @param head head of the call
     * @param target process of the target that is to run the call
     * @param context context id that the target may send with its own calls
     * @param timeout time left until the deadline
     */
    void addTargetHeaders(HttpHeaders out, CallHead head, TargetRef target, String context, Duration timeout);

    /**
     * Returns whether targets repeat the request's id in their responses.
     *
     * @return false if responses without an id are normal
     */
    boolean answersCarryRequestId();

    /**
     * Returns the id of the request that a target's response names.
     *
     * @param headers headers of the response
     * @return the id; empty if the response bears none, and all of them, separated by commas, if it bears several
     */
    Optional<String> responseId(HttpHeaders headers);

    /**
     * Classifies the head of a target's response.
     *
     * @param head head of the call that was sent
     * @param context context id that was sent with the call
     * @param status HTTP status
     * @param headers headers of the response
     * @return the verdict
     */
    ResponseVerdict classifyResponse(CallHead head, String context, int status, HttpHeaders headers);

    /**
     * Selects the headers of a response that are forwarded to the caller.
     *
     * @param headers headers as received from the target
     * @return the forwarded headers
     */
    List<Header> responseHeaders(HttpHeaders headers);

    /**
     * Adds the node's headers to a response to the caller.
     *
     * @param out headers of the response, which already contain the target's end-to-end headers
     * @param head head of the call
     */
    void addCallerHeaders(HttpHeaders out, CallHead head);

    /**
     * Writes a refusal as an HTTP response.
     *
     * @param refusal the refusal
     * @param requestId identifier of the request
     * @param policyVersion policy version that was applied to the request
     * @return the complete response
     */
    FullHttpResponse writeRefusal(Refusal refusal, String requestId, long policyVersion);
}
