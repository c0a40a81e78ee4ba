package org.heatherhaven.node.http;

import java.util.List;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import net.jqwik.api.Example;
import org.heatherhaven.core.model.AttemptKind;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Importance;

/** Guards that the default dialect tells a target's answers to other calls from the answer to this call. */
class DefaultDialectTest {

    private static final CallHead HEAD = new CallHead(
            "request-1",
            "root-1",
            "shop.example",
            "GET",
            "/x",
            List.of(),
            "",
            "s",
            "r",
            "t",
            Importance.HIGH,
            Importance.HIGH,
            0,
            1_000,
            200,
            1,
            false,
            AttemptKind.FIRST,
            1);

    private static void expect(ResponseVerdict expected, int status, HttpHeaders headers) {
        ResponseVerdict seen = new DefaultDialect().classifyResponse(HEAD, "context-1", status, headers);
        if (seen != expected) {
            throw new AssertionError("expected " + expected + ", saw " + seen);
        }
    }

    private static HttpHeaders context(String id) {
        return new DefaultHttpHeaders().set(DefaultDialect.CONTEXT_HEADER, id);
    }

    @Example
    void anAnswerWithAnotherContextIdIsTheAnswerToAnotherCall() {
        expect(ResponseVerdict.OTHER_CALL, 200, context("context-2"));
        expect(ResponseVerdict.OTHER_CALL, 500, context("context-2"));
        expect(ResponseVerdict.OTHER_CALL, 503, context("context-2"));
    }

    @Example
    void anAnswerWithTheContextIdOfTheCallIsItsAnswer() {
        expect(ResponseVerdict.VALID, 200, context("context-1"));
        expect(ResponseVerdict.OVERLOADED, 503, context("context-1"));
    }

    @Example
    void targetsNeedNotReturnTheContextId() {
        expect(ResponseVerdict.VALID, 200, new DefaultHttpHeaders());
        expect(ResponseVerdict.OVERLOADED, 503, new DefaultHttpHeaders());
    }
}
