package org.heatherhaven.core.message;

import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.PolicyVersion;

/**
 * Policy versions in ascending order, with a snapshot if the requester is too far behind.
 *
 * @param snapshot complete policy that the versions follow
 * @param versions consecutive policy versions
 */
public record PolicyPage(Optional<PolicySnapshot> snapshot, List<PolicyVersion> versions) implements PeerMessage {}
