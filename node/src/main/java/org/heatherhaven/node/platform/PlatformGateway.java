package org.heatherhaven.node.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.Event;
import org.heatherhaven.core.event.PlatformEvent;
import org.heatherhaven.core.event.PlatformEvent.CommitResult;
import org.heatherhaven.core.model.Departure;
import org.heatherhaven.core.model.Grant;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.PolicyVersion;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs the effects that call the platform, and posts their results as events. */
public final class PlatformGateway {

    private static final Logger LOGGER = LoggerFactory.getLogger(PlatformGateway.class);
    private static final int MAX_LISTED_MEMBERS = 200;
    private static final String MEMBER_PREFIX = "members/";
    private static final String DEPARTURE_PREFIX = "departures/";
    private static final int MAX_LISTED_DEPARTURES = 50;
    private static final int MAX_REMOVED_DEPARTURES = 10;

    /** Age from which a departure is of no use: far beyond the delay of a report, and jumps of the time of day. */
    private static final Duration DEPARTURE_RETENTION = Duration.ofHours(1);

    private final Platform platform;
    private final PolicySource policySource;
    private final Consumer<Event> events;

    /**
     * Creates the gateway.
     *
     * @param platform client of the platform's objects
     * @param policySource where policy versions are read
     * @param events receives the results of the calls
     */
    public PlatformGateway(Platform platform, PolicySource policySource, Consumer<Event> events) {
        this.platform = platform;
        this.policySource = policySource;
        this.events = events;
    }

    /**
     * Reads the grant of a lease.
     *
     * @param effect names the lease
     */
    public void readGrant(Effect.ReadGrant effect) {
        reportFailure(
                effect.lease(),
                platform.get(leaseKey(effect.lease()))
                        .thenAccept(found -> events.accept(found.map(object -> grantSeen(effect.lease(), object))
                                .orElse(new PlatformEvent.GrantAbsent(effect.lease())))));
    }

    /**
     * Creates the grant of a lease; if one exists already, reads it.
     *
     * @param effect names the lease and holds the grant
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
     * Updates the grant of a lease; if its object has another version, reads it.
     *
     * @param effect names the lease and holds the grant and the expected version of its object
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

    private void reportFailure(LeaseId lease, CompletableFuture<Void> call) {
        call.exceptionally(cause -> {
            LOGGER.debug("The platform call for lease {} failed, its result is unknown: {}", lease, cause.toString());
            events.accept(new PlatformEvent.GrantResultUnknown(lease));
            return null;
        });
    }

    private static PlatformEvent grantSeen(LeaseId lease, StoredObject object) {
        return new PlatformEvent.GrantSeen(lease, StoredJson.read(object.value(), Grant.class), object.version());
    }

    /**
     * Reads the policy versions after a given one.
     *
     * @param effect names the version after which to read
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
     * Creates a policy version; if a version with its number exists already, posts the existing one.
     *
     * @param effect holds the version
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
                    LOGGER.warn(
                            "Writing policy version {} failed, its result is unknown: {}",
                            version.version(),
                            cause.toString());
                    events.accept(new PlatformEvent.PolicyWritten(version, CommitResult.UNKNOWN, Optional.empty()));
                    return null;
                });
    }

    /**
     * Stores a snapshot of the whole policy, unless the stored one has the same or a later version.
     *
     * @param effect holds the snapshot
     */
    public void writeSnapshot(Effect.WriteSnapshot effect) {
        byte[] value = StoredJson.write(effect.snapshot());
        platform.get(VersionedPolicySource.SNAPSHOT_KEY)
                .thenCompose(found -> {
                    if (found.isEmpty()) {
                        return platform.create(VersionedPolicySource.SNAPSHOT_KEY, value);
                    }
                    long stored = StoredJson.read(found.get().value(), PolicySnapshot.class)
                            .version();
                    return stored >= effect.snapshot().version()
                            ? CompletableFuture.completedFuture(OptionalLong.empty())
                            : platform.update(
                                    VersionedPolicySource.SNAPSHOT_KEY,
                                    value,
                                    found.get().version());
                })
                .exceptionally(cause -> {
                    // A missing snapshot loses no data: nodes that start later read more versions instead.
                    LOGGER.info(
                            "Storing policy snapshot {} failed: {}",
                            effect.snapshot().version(),
                            cause.toString());
                    return OptionalLong.empty();
                });
    }

    /**
     * Writes this node's announcement. It replaces that of an earlier process at the same address.
     *
     * @param effect holds this node's own entry
     * @return completes once the result is posted as an event
     */
    public CompletableFuture<Void> announce(Effect.Announce effect) {
        return reportUnknown(write(effect.self()));
    }

    /**
     * Checks that this process is announced, and writes its announcement if it is not. A stale read suffices where it
     * finds the announcement.
     *
     * @param effect holds this node's own entry
     * @return completes once the result is posted as an event; none is posted if the process is announced
     */
    public CompletableFuture<Void> checkAnnouncement(Effect.CheckAnnouncement effect) {
        Member self = effect.self();
        String key = memberKey(self.id());
        return reportUnknown(platform.getStale(key).thenCompose(stale -> {
            if (announces(stale, self)) {
                return CompletableFuture.completedFuture(null);
            }
            return platform.get(key)
                    .thenCompose(
                            found -> announces(found, self) ? CompletableFuture.completedFuture(null) : write(self));
        }));
    }

    private static boolean announces(Optional<StoredObject> found, Member self) {
        return found.flatMap(PlatformGateway::readMember)
                .filter(member -> member.owner().equals(self.owner()))
                .isPresent();
    }

    private CompletableFuture<Void> write(Member self) {
        String key = memberKey(self.id());
        byte[] value = StoredJson.write(self);
        return platform.create(key, value).thenCompose(created -> {
            if (created.isPresent()) {
                events.accept(new PlatformEvent.SelfAnnounced(false));
                return CompletableFuture.completedFuture(null);
            }
            return platform.get(key)
                    .thenCompose(found -> found.isEmpty()
                            ? platform.create(key, value)
                            : platform.update(key, value, found.get().version()))
                    .thenAccept(written -> events.accept(
                            written.isPresent()
                                    ? new PlatformEvent.SelfAnnounced(true)
                                    : new PlatformEvent.AnnouncementUnknown()));
        });
    }

    private CompletableFuture<Void> reportUnknown(CompletableFuture<Void> call) {
        return call.exceptionally(cause -> {
            LOGGER.warn("It is unknown whether the node is announced on the platform; retrying: {}", cause.toString());
            events.accept(new PlatformEvent.AnnouncementUnknown());
            return null;
        });
    }

    /**
     * Reads the departure of the target that an earlier process of this node stored.
     *
     * @param effect names this node
     */
    public void readDeparture(Effect.ReadDeparture effect) {
        platform.get(departureKey(effect.node()))
                .thenAccept(found ->
                        events.accept(new PlatformEvent.DepartureRead(found.flatMap(PlatformGateway::readDeparture))))
                .exceptionally(cause -> {
                    LOGGER.warn("The departure of the target can't be read; retrying: {}", cause.toString());
                    return null;
                });
    }

    /** Reads a stored departure; one that is no departure is left out, as nothing can be told from it. */
    private static Optional<Departure> readDeparture(StoredObject object) {
        try {
            return Optional.of(StoredJson.read(object.value(), Departure.class));
        } catch (PlatformException e) {
            LOGGER.warn("Entry {} among the departures is ignored: {}", object.key(), e.getMessage());
            return Optional.empty();
        }
    }

    /**
     * Stores the departure of the target in place of an earlier one, then removes departures of other nodes that are too
     * old to matter.
     *
     * @param effect names this node and holds the departure
     */
    public void storeDeparture(Effect.StoreDeparture effect) {
        createOrReplace(departureKey(effect.node()), StoredJson.write(effect.departure()))
                .thenAccept(written -> {
                    events.accept(
                            written.isPresent()
                                    ? new PlatformEvent.DepartureStored(effect.departure())
                                    : new PlatformEvent.DepartureUnknown());
                    removeOldDepartures(effect);
                })
                .exceptionally(cause -> {
                    LOGGER.warn("Storing that the target leaves failed; retrying: {}", cause.toString());
                    events.accept(new PlatformEvent.DepartureUnknown());
                    return null;
                });
    }

    private CompletableFuture<OptionalLong> createOrReplace(String key, byte[] value) {
        return platform.create(key, value).thenCompose(created -> {
            if (created.isPresent()) {
                return CompletableFuture.completedFuture(created);
            }
            return platform.get(key)
                    .thenCompose(found -> found.isEmpty()
                            ? platform.create(key, value)
                            : platform.update(key, value, found.get().version()));
        });
    }

    /** Removes some departures that no late report can concern any more, as their nodes may never store another. */
    private void removeOldDepartures(Effect.StoreDeparture effect) {
        long oldest = effect.departure().reportedMillis() - DEPARTURE_RETENTION.toMillis();
        platform.listStale(DEPARTURE_PREFIX, departureKey(effect.node()), MAX_LISTED_DEPARTURES)
                .thenAccept(objects -> objects.stream()
                        .filter(object -> readDeparture(object)
                                .filter(old -> old.reportedMillis() < oldest)
                                .isPresent())
                        .limit(MAX_REMOVED_DEPARTURES)
                        .forEach(object -> platform.delete(object.key(), object.version())))
                .exceptionally(cause -> {
                    LOGGER.debug("Old departures can't be removed: {}", cause.toString());
                    return null;
                });
    }

    /**
     * Reads some announced members, those whose keys follow this node's own key. Joining nodes thus contact different
     * members.
     *
     * @param self this node
     * @param effect tells whether a stale read suffices
     */
    public void listMembers(NodeId self, Effect.ListMembers effect) {
        listMembers(memberKey(self), effect)
                .thenCompose(
                        found -> found.isEmpty() ? listMembers("", effect) : CompletableFuture.completedFuture(found))
                .thenAccept(objects -> events.accept(new PlatformEvent.MembersListed(objects.stream()
                        .flatMap(object -> readMember(object).stream())
                        .toList())))
                .exceptionally(cause -> {
                    LOGGER.debug("The announced members can't be read: {}", cause.toString());
                    return null;
                });
    }

    private CompletableFuture<List<StoredObject>> listMembers(String after, Effect.ListMembers effect) {
        return effect.staleSuffices()
                ? platform.listStale(MEMBER_PREFIX, after, MAX_LISTED_MEMBERS)
                : platform.list(MEMBER_PREFIX, after, MAX_LISTED_MEMBERS, Duration.ZERO);
    }

    /** Reads an announcement; one that is no announcement is left out, as the others are still of use. */
    private static Optional<Member> readMember(StoredObject object) {
        try {
            Member member = StoredJson.read(object.value(), Member.class);
            if (member.id().namesAddress() && member.slots() >= 0) {
                return Optional.of(member);
            }
            LOGGER.warn("Entry {} among the announced members is ignored: no address or slots", object.key());
        } catch (PlatformException e) {
            LOGGER.warn("Entry {} among the announced members is ignored: {}", object.key(), e.getMessage());
        }
        return Optional.empty();
    }

    /**
     * Deletes the announcement of a process that has ended, unless a later process has replaced it.
     *
     * @param effect names the process
     * @return completes with true if the announcement was deleted, with false if it was not or if a call failed
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

    private static String leaseKey(LeaseId lease) {
        return "rights/" + lease;
    }

    private static String departureKey(NodeId node) {
        return DEPARTURE_PREFIX + node.value();
    }

    private static String memberKey(NodeId node) {
        return MEMBER_PREFIX + node.value();
    }
}
