package org.heatherhaven.node.http;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Reads the bearer token (RFC 6750) that a caller presents as its key. */
public final class BearerKey {

    private static final String SCHEME = "Bearer ";

    private BearerKey() {}

    /**
     * Returns the key of a request.
     *
     * @param headers headers of the request
     * @return the key, or empty if the request has no credentials of the scheme Bearer
     */
    public static Optional<String> of(HttpHeaders headers) {
        return Optional.ofNullable(headers.get(HttpHeaderNames.AUTHORIZATION))
                .filter(value -> value.regionMatches(true, 0, SCHEME, 0, SCHEME.length()))
                .map(value -> value.substring(SCHEME.length()).trim());
    }
}
