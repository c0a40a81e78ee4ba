package org.heatherhaven.node.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Answers small requests that are no calls: of operators, of probes, of the target itself. */
@FunctionalInterface
public interface PageHandler {

    /**
     * A request.
     *
     * @param method HTTP method
     * @param path path with query
     * @param key key presented with it
     * @param body the whole body
     */
    record Request(String method, String path, Optional<String> key, byte[] body) {}

    /**
     * Answers a request.
     *
     * @param request the request
     * @return the answer, in time
     */
    CompletableFuture<PageReply> handle(Request request);
}
