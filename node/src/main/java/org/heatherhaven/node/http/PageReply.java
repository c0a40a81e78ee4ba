package org.heatherhaven.node.http;

/**
 * An answer of a page.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body the body
 */
public record PageReply(int status, String contentType, byte[] body) {

    private static final String JSON = "application/json";

    /**
     * An answer in JSON.
     *
     * @param status HTTP status
     * @param body the body
     * @return the answer
     */
    public static PageReply json(int status, byte[] body) {
        return new PageReply(status, JSON, body);
    }

    /**
     * An answer without a body.
     *
     * @param status HTTP status
     * @return the answer
     */
    public static PageReply empty(int status) {
        return new PageReply(status, JSON, new byte[0]);
    }
}
