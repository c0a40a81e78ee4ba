package org.heatherhaven.core.event;

import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.model.Grant;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.PolicyVersion;

/** Answers of the platform's object API. */
public sealed interface PlatformEvent extends Event {

    /**
     * The object of a right was read or written.
     *
     * @param lease the right
     * @param grant content of the object
     * @param objectVersion version for conditional updates
     */
    record GrantSeen(LeaseId lease, Grant grant, long objectVersion) implements PlatformEvent {}

    /**
     * The object of a right does not exist.
     *
     * @param lease the right
     */
    record GrantAbsent(LeaseId lease) implements PlatformEvent {}

    /**
     * Nothing certain is known of a read or write: it failed, or its answer was lost.
     *
     * @param lease the right
     */
    record GrantResultUnknown(LeaseId lease) implements PlatformEvent {}

    /**
     * Policy versions were read; proves that no newer one existed at the moment of asking.
     *
     * @param snapshot a whole policy to start from
     * @param versions versions after it, in order
     * @param requestedAgoMillis time since the question was sent, milliseconds
     */
    record PolicyRead(Optional<PolicySnapshot> snapshot, List<PolicyVersion> versions, long requestedAgoMillis)
            implements PlatformEvent {}

    /** Policy versions could not be read. */
    record PolicyReadFailed() implements PlatformEvent {}

    /** How the platform answered the creation of a policy version. */
    enum CommitResult {
        CREATED,
        EXISTS,
        UNKNOWN
    }

    /**
     * The platform answered the creation of a policy version.
     *
     * @param version the version that was to be created
     * @param result how it ended
     * @param existing the version found in its place, with {@link CommitResult#EXISTS}
     */
    record PolicyWritten(PolicyVersion version, CommitResult result, Optional<PolicyVersion> existing)
            implements PlatformEvent {}

    /**
     * This node was announced.
     *
     * @param replaced true if an earlier process of this node was still announced
     */
    record SelfAnnounced(boolean replaced) implements PlatformEvent {}

    /**
     * Announced members were read, to join the fleet through them.
     *
     * @param members members in no special order
     */
    record MembersListed(List<Member> members) implements PlatformEvent {}
}
