package org.heatherhaven.node.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaders;
import org.heatherhaven.core.model.Header;

/** Tells headers that travel end to end from those that end at each node. */
public final class EndToEnd {

    private static final String OWN_PREFIX = "heatherhaven-";
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "host");

    /** Credentials end at the first node, whatever the route; no target ever sees a key. */
    private static final Set<String> CREDENTIALS = Set.of("authorization", "request-timeout-ms");

    private EndToEnd() {}

    /**
     * Headers that travel on.
     *
     * @param headers headers as received
     * @return headers without hop-by-hop fields, credentials and fields of our own
     */
    public static List<Header> headers(HttpHeaders headers) {
        Set<String> named = new HashSet<>();
        for (String value : headers.getAll("Connection")) {
            for (String name : value.split(",")) {
                named.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        List<Header> kept = new ArrayList<>();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            boolean ends = HOP_BY_HOP.contains(name) || CREDENTIALS.contains(name) || named.contains(name);
            if (!ends && !name.startsWith(OWN_PREFIX)) {
                kept.add(new Header(header.getKey(), header.getValue()));
            }
        }
        return kept;
    }

    /**
     * Length of the body that headers announce.
     *
     * @param headers end-to-end headers
     * @return length in bytes, or -1 if it is not announced
     */
    public static long contentLength(List<Header> headers) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase("content-length"))
                .mapToLong(header -> Long.parseLong(header.value().trim()))
                .findFirst()
                .orElse(-1);
    }
}
