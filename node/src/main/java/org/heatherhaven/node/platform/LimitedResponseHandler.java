package org.heatherhaven.node.platform;

import org.asynchttpclient.AsyncCompletionHandlerBase;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.Response;

/**
 * Collects the response to a call to the platform, and fails the call if its body is longer than any object or page of the
 * platform, so that a response without end does not use up the memory of this process.
 */
public final class LimitedResponseHandler extends AsyncCompletionHandlerBase {

    /** Several times the largest object or page of a list. */
    static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    private long bodyBytes;

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) throws Exception {
        bodyBytes += part.length();
        if (bodyBytes > MAX_BODY_BYTES) {
            throw new PlatformException(
                    PlatformException.Code.MALFORMED_RESPONSE,
                    "the platform's response has more than " + MAX_BODY_BYTES + " bytes");
        }
        return super.onBodyPartReceived(part);
    }

    @Override
    public Response onCompleted(Response response) {
        return response;
    }
}
