package org.heatherhaven.node.platform;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.PolicyVersion;

/** Policy versions as objects of their own, one a patch, and now and then a snapshot. */
public final class VersionedPolicySource implements PolicySource {

    static final String SNAPSHOT = "policy/snapshot";

    private static final Duration WATCH_PATIENCE = Duration.ofSeconds(2);
    private static final int PAGE_OBJECTS = 200;
    private static final String VERSIONS = "policy/versions/";

    private final Platform platform;
    private final InstantSource clock;

    /**
     * Creates the source.
     *
     * @param platform the platform's objects
     * @param clock the clock
     */
    public VersionedPolicySource(Platform platform, InstantSource clock) {
        this.platform = platform;
        this.clock = clock;
    }

    static String versionKey(long version) {
        return VERSIONS + String.format("%012d", version);
    }

    @Override
    public CompletableFuture<Reading> read(long after) {
        Instant askedAt = clock.instant();
        CompletableFuture<Optional<PolicySnapshot>> snapshot = after > 0
                ? CompletableFuture.completedFuture(Optional.empty())
                : platform.get(SNAPSHOT)
                        .thenApply(found -> found.map(object -> Stored.read(object.value(), PolicySnapshot.class)));
        return snapshot.thenCompose(start -> {
            long from = start.map(PolicySnapshot::version).orElse(after);
            return platform.list(VERSIONS, versionKey(from), PAGE_OBJECTS, WATCH_PATIENCE)
                    .thenApply(objects -> reading(start, objects, askedAt));
        });
    }

    private Reading reading(Optional<PolicySnapshot> start, List<StoredObject> objects, Instant askedAt) {
        List<PolicyVersion> versions = objects.stream()
                .map(object -> Stored.read(object.value(), PolicyVersion.class))
                .toList();
        // A full page may have successors, so that it proves nothing about the newest version.
        Instant provenAt = objects.size() < PAGE_OBJECTS ? askedAt : Instant.EPOCH;
        return new Reading(start, versions, Duration.between(provenAt, clock.instant()));
    }
}
