package org.heatherhaven.core.message;

import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.PolicyVersion;

/**
 * Policy versions in order, led by a snapshot if the asker is too far behind.
 *
 * @param snapshot a whole policy to start from
 * @param versions versions that follow
 */
public record PolicyPage(Optional<PolicySnapshot> snapshot, List<PolicyVersion> versions) implements PeerMessage {}
