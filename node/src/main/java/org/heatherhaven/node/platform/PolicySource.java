package org.heatherhaven.node.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.PolicyVersion;

/** Source of the numbered policy versions. */
public interface PolicySource {

    /**
     * Result of a read.
     *
     * @param snapshot whole policy to start from; empty if the versions continue the policy in force
     * @param versions the following versions, in order
     * @param confirmedAgo time since the platform confirmed that no newer version existed; very long if it did not confirm
     *     this
     */
    record ReadResult(Optional<PolicySnapshot> snapshot, List<PolicyVersion> versions, Duration confirmedAgo) {}

    /**
     * Reads the versions after a given one. May wait for a while if there is none.
     *
     * @param after number of the policy version in force at this node, 0 if there is none
     * @return the result; fails with a {@link PlatformException}
     */
    CompletableFuture<ReadResult> read(long after);
}
