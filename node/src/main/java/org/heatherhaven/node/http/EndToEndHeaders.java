package org.heatherhaven.node.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.heatherhaven.core.model.Header;

/** Tells headers that travel end to end from those that end at each node. */
public final class EndToEndHeaders {

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
    private static final String CREDENTIALS = "authorization";

    private final Predicate<String> nodeHeader;

    /**
     * Creates a filter of headers.
     *
     * @param own recognises names, in lower case, of headers that only nodes write; a caller's are dropped
     */
    public EndToEndHeaders(Predicate<String> own) {
        this.nodeHeader = own;
    }

    /**
     * Headers that travel on.
     *
     * @param headers all headers of a message
     * @return those that are not about one connection, a credential or a node's own
     */
    public List<Header> endToEnd(HttpHeaders headers) {
        Set<String> named = namedByConnection(headers);
        List<Header> kept = new ArrayList<>();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            boolean ends = HOP_BY_HOP.contains(name) || name.equals(CREDENTIALS) || named.contains(name);
            if (!ends && !nodeHeader.test(name)) {
                kept.add(new Header(header.getKey(), header.getValue()));
            }
        }
        return kept;
    }

    private static Set<String> namedByConnection(HttpHeaders headers) {
        List<String> values = headers.getAll(HttpHeaderNames.CONNECTION);
        if (values.isEmpty()) {
            return Set.of();
        }
        Set<String> named = new HashSet<>();
        for (String value : values) {
            for (String name : value.split(",")) {
                named.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return named;
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
