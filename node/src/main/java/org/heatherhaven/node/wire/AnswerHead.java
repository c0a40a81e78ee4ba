package org.heatherhaven.node.wire;

import java.util.List;

import org.heatherhaven.core.model.Header;

/**
 * Status and headers of a target's answer, sent before its body.
 *
 * @param status HTTP status code
 * @param headers end-to-end headers, in the order received
 */
public record AnswerHead(int status, List<Header> headers) {}
