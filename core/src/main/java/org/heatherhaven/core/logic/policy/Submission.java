package org.heatherhaven.core.logic.policy;

import java.time.Instant;

import org.heatherhaven.core.model.PolicyVersion;

/**
 * A patch that this node is committing.
 *
 * @param version the version to be created
 * @param giveUpAt when the commit is given up and the operator receives an unknown result
 * @param retryAt when the creation is tried again
 */
record Submission(PolicyVersion version, Instant giveUpAt, Instant retryAt) {}
