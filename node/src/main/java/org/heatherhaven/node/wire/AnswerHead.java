package org.heatherhaven.node.wire;

import java.util.List;

import org.heatherhaven.core.model.Header;

/**
 * Head of a target's answer.
 *
 * @param status HTTP status
 * @param headers end-to-end headers
 */
public record AnswerHead(int status, List<Header> headers) {}
