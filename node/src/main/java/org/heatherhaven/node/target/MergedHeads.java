package org.heatherhaven.node.target;

import java.util.Iterator;
import java.util.Map;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponse;

/** Detects the head of a response that was cut off and continues with the head of another response. */
final class MergedHeads {

    private static final String PROTOCOL = "HTTP/";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private MergedHeads() {}

    /**
     * Returns whether a status line follows within the reason or the value of a header. In the name of a header the
     * decoder rejects it.
     */
    static boolean isMerged(HttpResponse response) {
        if (holdsStatusLine(response.status().reasonPhrase())) {
            return true;
        }
        Iterator<Map.Entry<CharSequence, CharSequence>> headers =
                response.headers().iteratorCharSequence();
        while (headers.hasNext()) {
            if (holdsStatusLine(headers.next().getValue().toString())) {
                return true;
            }
        }
        return false;
    }

    private static boolean holdsStatusLine(String text) {
        return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }
}
