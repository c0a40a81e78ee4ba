package org.heatherhaven.core.logic.policy;

import java.time.Instant;

import org.heatherhaven.core.model.PolicyVersion;

/**
 * A patch on its way to becoming a version.
 *
 * @param version the version to be created
 * @param giveUpAt when the operator is told that the end is unknown
 * @param retryAt when the creation is tried again
 */
record Submission(PolicyVersion version, Instant giveUpAt, Instant retryAt) {}
