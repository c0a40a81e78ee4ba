package org.heatherhaven.core.message;

import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.PolicyVersion;

import java.util.List;
import java.util.Optional;

/**
 * Policy versions in order, led by a snapshot if the asker is too far behind.
 *
 * @param snapshot a whole policy to start from
 * @param versions versions that follow
 */
public record PolicyPage(Optional<PolicySnapshot> snapshot, List<PolicyVersion> versions) implements PeerMessage {}
