package org.heatherhaven.core.event;

import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.model.Departure;
import org.heatherhaven.core.model.Grant;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.PolicyVersion;

/** Responses of the platform's object API. */
public sealed interface PlatformEvent extends Event {

    /**
     * The object of a lease was read or written.
     *
     * @param lease the lease
     * @param grant content of the object
     * @param objectVersion version for conditional updates
     */
    record GrantSeen(LeaseId lease, Grant grant, long objectVersion) implements PlatformEvent {}

    /**
     * The object of a lease does not exist.
     *
     * @param lease the lease
     */
    record GrantAbsent(LeaseId lease) implements PlatformEvent {}

    /**
     * The result of a read or write of a lease's object is unknown: the request failed or its response was lost.
     *
     * @param lease the lease
     */
    record GrantResultUnknown(LeaseId lease) implements PlatformEvent {}

    /**
     * Policy versions were read; no newer one existed when the request was sent.
     *
     * @param snapshot complete policy that the versions follow, if the reader was too far behind
     * @param versions versions after it, in order
     * @param requestedAgoMillis time since the request was sent, milliseconds
     */
    record PolicyRead(Optional<PolicySnapshot> snapshot, List<PolicyVersion> versions, long requestedAgoMillis)
            implements PlatformEvent {}

    /** Policy versions could not be read. */
    record PolicyReadFailed() implements PlatformEvent {}

    /** Result of creating a policy version. */
    enum CommitResult {
        CREATED,
        EXISTS,
        UNKNOWN
    }

    /**
     * The creation of a policy version ended.
     *
     * @param version the version that was to be created
     * @param result result of the creation
     * @param existing version that already has this number, with {@link CommitResult#EXISTS}
     */
    record PolicyWritten(PolicyVersion version, CommitResult result, Optional<PolicyVersion> existing)
            implements PlatformEvent {}

    /**
     * This node was announced on the platform.
     *
     * @param replaced true if an earlier process of this node was still announced
     */
    record SelfAnnounced(boolean replaced) implements PlatformEvent {}

    /** It is unknown whether this node is announced: a call failed, or another write came between. */
    record AnnouncementUnknown() implements PlatformEvent {}

    /**
     * The stored departure of this node's target was read.
     *
     * @param departure the departure, empty if none is stored
     */
    record DepartureRead(Optional<Departure> departure) implements PlatformEvent {}

    /**
     * A departure of this node's target was stored.
     *
     * @param departure the departure
     */
    record DepartureStored(Departure departure) implements PlatformEvent {}

    /** It is unknown whether the departure of this node's target was stored. */
    record DepartureUnknown() implements PlatformEvent {}

    /**
     * Announced members were read; the node joins the fleet by contacting them.
     *
     * @param members announced members in no particular order
     */
    record MembersListed(List<Member> members) implements PlatformEvent {}
}
