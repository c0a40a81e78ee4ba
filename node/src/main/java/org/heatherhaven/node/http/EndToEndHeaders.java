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

/** Filter that keeps the end-to-end headers of a message and drops hop-by-hop headers and credentials. */
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

    /** Credentials are dropped at the first node on every route, so that targets never receive keys. */
    private static final String CREDENTIALS = "authorization";

    private final Predicate<String> nodeHeader;

    /**
     * Creates a filter.
     *
     * @param nodeHeader matches the lower-case names of headers that only nodes write; such headers are dropped
     */
    public EndToEndHeaders(Predicate<String> nodeHeader) {
        this.nodeHeader = nodeHeader;
    }

    /**
     * Selects the headers of a message that are forwarded.
     *
     * @param headers all headers of the message
     * @return the headers that are not hop-by-hop, credentials or written by nodes
     */
    public List<Header> endToEnd(HttpHeaders headers) {
        Set<String> connectionOptions = namedByConnection(headers);
        List<Header> selected = new ArrayList<>();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            boolean dropped = HOP_BY_HOP.contains(name) || name.equals(CREDENTIALS) || connectionOptions.contains(name);
            if (!dropped && !nodeHeader.test(name)) {
                selected.add(new Header(header.getKey(), header.getValue()));
            }
        }
        return selected;
    }

    /** Returns the lower-case names listed in the Connection header, which are hop-by-hop for this message. */
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
     * Returns the value of the Content-Length header.
     *
     * @param headers end-to-end headers
     * @return length in bytes, or -1 if the header is missing
     */
    public static long contentLength(List<Header> headers) {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase("content-length"))
                .mapToLong(header -> Long.parseLong(header.value().trim()))
                .findFirst()
                .orElse(-1);
    }
}
