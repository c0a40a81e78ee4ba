package org.heatherhaven.node.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.event.PlatformEvent;
import org.heatherhaven.core.event.PlatformEvent.CommitResult;
import org.heatherhaven.core.model.Grant;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.PolicyVersion;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries out the platform's effects, and posts what came of them. */
public final class PlatformGateway {

    private static final Logger LOGGER = LoggerFactory.getLogger(PlatformGateway.class);
    private static final int MAX_LISTED_MEMBERS = 200;
    private static final String MEMBER_PREFIX = "members/";

    private final Platform platform;
    private final PolicySource policySource;
    private final Consumer<Event> events;

    /**
     * Creates the gateway.
     *
     * @param platform the platform
     * @param clock source of time
     * @param events takes what came of the calls
     */
    public PlatformGateway(Platform platform, PolicySource policies, Consumer<Event> events) {
        this.platform = platform;
        this.policySource = policies;
        this.events = events;
    }

    /**
     * Reads the object of a right.
     *
     * @param effect which right
     */
    public void readGrant(Effect.ReadGrant effect) {
        reportFailure(
                effect.lease(),
                platform.get(leaseKey(effect.lease()))
                        .thenAccept(found -> events.accept(found.map(object -> grantSeen(effect.lease(), object))
                                .orElse(new PlatformEvent.GrantAbsent(effect.lease())))));
    }

    /**
     * Creates the object of a right.
     *
     * @param effect which right, and its content
     */
    public void createGrant(Effect.CreateGrant effect) {
        reportFailure(
                effect.lease(),
                platform.create(leaseKey(effect.lease()), StoredJson.write(effect.grant()))
                        .thenAccept(version -> {
                            if (version.isPresent()) {
                                events.accept(new PlatformEvent.GrantSeen(
                                        effect.lease(), effect.grant(), version.getAsLong()));
                            } else {
                                readGrant(new Effect.ReadGrant(effect.lease()));
                            }
                        }));
    }

    /**
     * Updates the object of a right.
     *
     * @param effect which right, its content, and the version expected
     */
    public void updateGrant(Effect.UpdateGrant effect) {
        reportFailure(
                effect.lease(),
                platform.update(leaseKey(effect.lease()), StoredJson.write(effect.grant()), effect.objectVersion())
                        .thenAccept(version -> {
                            if (version.isPresent()) {
                                events.accept(new PlatformEvent.GrantSeen(
                                        effect.lease(), effect.grant(), version.getAsLong()));
                            } else {
                                readGrant(new Effect.ReadGrant(effect.lease()));
                            }
                        }));
    }

    private void reportFailure(LeaseId right, CompletableFuture<Void> call) {
        call.exceptionally(cause -> {
            LOGGER.debug("Right {} is unsettled: {}", right, cause.toString());
            events.accept(new PlatformEvent.GrantResultUnknown(right));
            return null;
        });
    }

    private static PlatformEvent grantSeen(LeaseId right, StoredObject object) {
        return new PlatformEvent.GrantSeen(right, StoredJson.read(object.value(), Grant.class), object.version());
    }

    /**
     * Reads policy versions.
     *
     * @param effect what to read
     */
    public void readPolicy(Effect.ReadPolicy effect) {
        policySource
                .read(effect.after())
                .thenAccept(reading -> events.accept(new PlatformEvent.PolicyRead(
                        reading.snapshot(),
                        reading.versions(),
                        Math.max(0, reading.confirmedAgo().toMillis()))))
                .exceptionally(cause -> {
                    LOGGER.info("The policy can't be read: {}", cause.toString());
                    events.accept(new PlatformEvent.PolicyReadFailed());
                    return null;
                });
    }

    /**
     * Creates a policy version.
     *
     * @param effect the version
     */
    public void writePolicy(Effect.WritePolicy effect) {
        PolicyVersion version = effect.version();
        String key = VersionedPolicySource.versionKey(version.version());
        platform.create(key, StoredJson.write(version))
                .thenCompose(created -> created.isPresent()
                        ? CompletableFuture.completedFuture(Optional.<PolicyVersion>empty())
                        : platform.get(key)
                                .thenApply(found ->
                                        found.map(object -> StoredJson.read(object.value(), PolicyVersion.class))))
                .thenAccept(existing -> events.accept(new PlatformEvent.PolicyWritten(
                        version, existing.isPresent() ? CommitResult.EXISTS : CommitResult.CREATED, existing)))
                .exceptionally(cause -> {
                    LOGGER.warn("Version {} is unsettled: {}", version.version(), cause.toString());
                    events.accept(new PlatformEvent.PolicyWritten(version, CommitResult.UNKNOWN, Optional.empty()));
                    return null;
                });
    }

    /**
     * Keeps a whole policy, unless a newer one is kept already.
     *
     * @param effect the policy
     */
    public void writeSnapshot(Effect.WriteSnapshot effect) {
        byte[] value = StoredJson.write(effect.snapshot());
        platform.get(VersionedPolicySource.SNAPSHOT_KEY)
                .thenCompose(found -> {
                    if (found.isEmpty()) {
                        return platform.create(VersionedPolicySource.SNAPSHOT_KEY, value);
                    }
                    long kept = StoredJson.read(found.get().value(), PolicySnapshot.class)
                            .version();
                    return kept >= effect.snapshot().version()
                            ? CompletableFuture.completedFuture(OptionalLong.empty())
                            : platform.update(
                                    VersionedPolicySource.SNAPSHOT_KEY,
                                    value,
                                    found.get().version());
                })
                .exceptionally(cause -> {
                    // Without it later nodes read more versions; nothing is lost.
                    LOGGER.info(
                            "Snapshot {} was not kept: {}", effect.snapshot().version(), cause.toString());
                    return OptionalLong.empty();
                });
    }

    /**
     * Announces this node, in the place of an earlier process at its address.
     *
     * @param self this node
     * @return completes when the announcement stands
     */
    public CompletableFuture<Boolean> announce(Member self) {
        String key = memberKey(self.id());
        byte[] value = StoredJson.write(self);
        return platform.create(key, value).thenCompose(created -> {
            if (created.isPresent()) {
                events.accept(new PlatformEvent.SelfAnnounced(false));
                return CompletableFuture.completedFuture(true);
            }
            return platform.get(key)
                    .thenCompose(found -> found.isEmpty()
                            ? platform.create(key, value)
                            : platform.update(key, value, found.get().version()))
                    .thenApply(written -> {
                        if (written.isPresent()) {
                            events.accept(new PlatformEvent.SelfAnnounced(true));
                        }
                        return written.isPresent();
                    });
        });
    }

    /**
     * Reads some announced members: those after this node's own key, so that joining nodes spread out.
     *
     * @param self this node
     */
    public void listMembers(NodeId self) {
        platform.list(MEMBER_PREFIX, memberKey(self), MAX_LISTED_MEMBERS, Duration.ZERO)
                .thenCompose(found -> found.isEmpty()
                        ? platform.list(MEMBER_PREFIX, "", MAX_LISTED_MEMBERS, Duration.ZERO)
                        : CompletableFuture.completedFuture(found))
                .thenAccept(objects -> events.accept(new PlatformEvent.MembersListed(objects.stream()
                        .map(object -> StoredJson.read(object.value(), Member.class))
                        .toList())))
                .exceptionally(cause -> {
                    LOGGER.debug("Members can't be read: {}", cause.toString());
                    return null;
                });
    }

    /**
     * Removes the announcement of a process that is over, unless its address has a new one.
     *
     * @param effect which process
     * @return completes when the platform has answered
     */
    public CompletableFuture<Boolean> removeAnnouncement(Effect.RemoveAnnouncement effect) {
        String key = memberKey(effect.member().node());
        return platform.get(key)
                .thenCompose(found -> {
                    boolean same = found.isPresent()
                            && StoredJson.read(found.get().value(), Member.class)
                                            .epoch()
                                    == effect.member().epoch();
                    return same
                            ? platform.delete(key, found.get().version())
                            : CompletableFuture.completedFuture(false);
                })
                .exceptionally(cause -> false);
    }

    private static String leaseKey(LeaseId right) {
        return "rights/" + right;
    }

    private static String memberKey(NodeId node) {
        return MEMBER_PREFIX + node.value();
    }
}
