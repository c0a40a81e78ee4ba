package org.heatherhaven.node.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.PolicyVersion;

/** Where the numbered policy versions are read. */
public interface PolicySource {

    /**
     * What was read.
     *
     * @param snapshot a whole policy to start from
     * @param versions versions after it, in order
     * @param confirmedAgo time since it was proven that no newer version existed; very long if it was not
     */
    record ReadResult(Optional<PolicySnapshot> snapshot, List<PolicyVersion> versions, Duration confirmedAgo) {}

    /**
     * Reads the versions after one, waiting for a while if there is none.
     *
     * @param after the version in force here
     * @return what was read
     */
    CompletableFuture<ReadResult> read(long after);
}
