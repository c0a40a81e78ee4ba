package org.heatherhaven.node.http;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Reads the key that a caller presents, RFC 6750. */
public final class BearerKey {

    private static final String SCHEME = "Bearer ";

    private BearerKey() {}

    /**
     * The key of a request.
     *
     * @param headers headers of the request
     * @return the key, absent if none was presented in this scheme
     */
    public static Optional<String> of(HttpHeaders headers) {
        return Optional.ofNullable(headers.get(HttpHeaderNames.AUTHORIZATION))
                .filter(value -> value.regionMatches(true, 0, SCHEME, 0, SCHEME.length()))
                .map(value -> value.substring(SCHEME.length()).trim());
    }
}
