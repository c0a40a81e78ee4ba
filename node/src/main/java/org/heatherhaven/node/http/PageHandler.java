package org.heatherhaven.node.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Handles small HTTP requests that are not calls: from operators, from readiness probes and from the target. */
@FunctionalInterface
public interface PageHandler {

    /**
     * A request.
     *
     * @param method HTTP method
     * @param path path with query
     * @param key bearer token presented with the request, if any
     * @param body the complete body
     */
    record Request(String method, String path, Optional<String> key, byte[] body) {}

    /**
     * Handles a request.
     *
     * @param request the request
     * @return completes with the reply
     */
    CompletableFuture<PageReply> handle(Request request);
}
