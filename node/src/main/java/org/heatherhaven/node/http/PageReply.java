package org.heatherhaven.node.http;

/**
 * Reply to a page request.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body the body
 */
public record PageReply(int status, String contentType, byte[] body) {

    private static final String JSON = "application/json";

    /**
     * Creates a reply with a JSON body.
     *
     * @param status HTTP status
     * @param body the body, JSON
     * @return the reply
     */
    public static PageReply json(int status, byte[] body) {
        return new PageReply(status, JSON, body);
    }

    /**
     * Creates a reply without a body.
     *
     * @param status HTTP status
     * @return the reply
     */
    public static PageReply empty(int status) {
        return new PageReply(status, JSON, new byte[0]);
    }
}
