package org.heatherhaven.node.wire;

import java.util.List;

import org.heatherhaven.core.model.Header;

/**
 * Status and headers of a target's answer, sent before its body.
 *
 * @param status HTTP status code
 * @param headers end-to-end headers, in the order received
 */
public record AnswerHead(int status, List<Header> headers) {

    private static final int LOWEST_FINAL_STATUS = 200;
    private static final int HIGHEST_STATUS = 599;

    /**
     * Returns whether the status is one of a final response, which can be passed on to a caller.
     *
     * @return false for an interim status, and for a number that is no status
     */
    public boolean hasFinalStatus() {
        return status >= LOWEST_FINAL_STATUS && status <= HIGHEST_STATUS;
    }
}
