package org.heatherhaven.node.http;

/**
 * An answer of a page.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body the body
 */
public record Reply(int status, String contentType, byte[] body) {

    private static final String JSON = "application/json";

    /**
     * An answer in JSON.
     *
     * @param status HTTP status
     * @param body the body
     * @return the answer
     */
    public static Reply json(int status, byte[] body) {
        return new Reply(status, JSON, body);
    }

    /**
     * An answer without a body.
     *
     * @param status HTTP status
     * @return the answer
     */
    public static Reply empty(int status) {
        return new Reply(status, JSON, new byte[0]);
    }
}
