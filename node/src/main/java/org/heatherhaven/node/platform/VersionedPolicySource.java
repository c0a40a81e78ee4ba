package org.heatherhaven.node.platform;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.PolicyVersion;

/**
 * Reads policy versions, which are stored as one object for each patch, and the snapshot of the whole policy, which is
 * updated from time to time.
 */
public final class VersionedPolicySource implements PolicySource {

    static final String SNAPSHOT_KEY = "policy/snapshot";

    /** Longest time for which the platform delays its response until there is a new version. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(2);
    /** Maximum number of versions in one response. */
    private static final int PAGE_SIZE = 200;

    private static final String VERSION_PREFIX = "policy/versions/";

    private final Platform platform;
    private final InstantSource clock;

    /**
     * Creates the source.
     *
     * @param platform client of the platform's objects
     * @param clock source of the current time
     */
    public VersionedPolicySource(Platform platform, InstantSource clock) {
        this.platform = platform;
        this.clock = clock;
    }

    /** Returns the key of a version's object; zero padding keeps keys in the order of the versions. */
    static String versionKey(long version) {
        return VERSION_PREFIX + String.format("%012d", version);
    }

    @Override
    public CompletableFuture<ReadResult> read(long after) {
        Instant requestedAt = clock.instant();
        CompletableFuture<Optional<PolicySnapshot>> snapshot = after > 0
                ? CompletableFuture.completedFuture(Optional.empty())
                : platform.get(SNAPSHOT_KEY)
                        .thenApply(found -> found.map(object -> StoredJson.read(object.value(), PolicySnapshot.class)));
        return snapshot.thenCompose(start -> {
            long from = start.map(PolicySnapshot::version).orElse(after);
            return platform.list(VERSION_PREFIX, versionKey(from), PAGE_SIZE, MAX_WAIT)
                    .thenApply(objects -> toResult(start, objects, requestedAt));
        });
    }

    private ReadResult toResult(Optional<PolicySnapshot> start, List<StoredObject> objects, Instant requestedAt) {
        List<PolicyVersion> versions = objects.stream()
                .map(object -> StoredJson.read(object.value(), PolicyVersion.class))
                .toList();
        // A full page may be followed by later versions, so it does not confirm which version is the newest.
        Instant confirmedAt = objects.size() < PAGE_SIZE ? requestedAt : Instant.EPOCH;
        return new ReadResult(start, versions, Duration.between(confirmedAt, clock.instant()));
    }
}
