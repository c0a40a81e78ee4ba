package org.heatherhaven.core.logic.policy;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.model.PolicyVersion;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The policy in force at this node, how recently it was confirmed, and commits and reads in progress.
 *
 * @param policy the policy in force
 * @param recentVersions the latest versions in ascending order, for peers with an older policy
 * @param confirmedAt the latest time at which the version in force is known to have been the newest
 * @param submission the patch that this node is committing, if any
 * @param nextPullAt earliest time of the next request for missing versions
 * @param otherZoneVersion newer version that a peer in another zone reported
 * @param behindSince when a peer first reported a version newer than the one in force, empty if none has
 * @param nextReadAt when the next read of the platform is due
 * @param reading true while a read of the platform is in progress
 */
public record PolicyState(
        Policy policy,
        PVector<PolicyVersion> recentVersions,
        Instant confirmedAt,
        Optional<Submission> submission,
        Instant nextPullAt,
        OtherZoneVersion otherZoneVersion,
        Optional<Instant> behindSince,
        Instant nextReadAt,
        boolean reading) {

    /**
     * A newer version that a peer in another zone reported.
     *
     * @param version its number, 0 for none
     * @param firstReportedAt when a version newer than the one in force was first reported from another zone
     */
    record OtherZoneVersion(long version, Instant firstReportedAt) {
        static final OtherZoneVersion NONE = new OtherZoneVersion(0, Instant.MIN);
    }

    /** Age of the confirmation with which a node starts: a process without any must not count as confirmed. */
    private static final Duration INITIAL_CONFIRMATION_AGE = Duration.ofHours(1);

    /**
     * Creates the state of a node without a policy.
     *
     * @param now time of the node's start
     * @return the state
     */
    public static PolicyState start(Instant now) {
        Instant unconfirmed = now.minus(INITIAL_CONFIRMATION_AGE);
        return new PolicyState(
                Policy.EMPTY,
                TreePVector.empty(),
                unconfirmed,
                Optional.empty(),
                now,
                OtherZoneVersion.NONE,
                Optional.empty(),
                now,
                false);
    }

    PolicyState withPolicy(Policy next, PVector<PolicyVersion> versions) {
        return new PolicyState(
                next,
                versions,
                confirmedAt,
                submission,
                nextPullAt,
                otherZoneVersion,
                Optional.empty(),
                nextReadAt,
                reading);
    }

    /** Sets the time of the confirmation, unless the present one is later. */
    PolicyState withConfirmedAt(Instant at) {
        Instant latest = at.isAfter(confirmedAt) ? at : confirmedAt;
        return new PolicyState(
                policy,
                recentVersions,
                latest,
                submission,
                nextPullAt,
                otherZoneVersion,
                behindSince,
                nextReadAt,
                reading);
    }

    /**
     * Moves the time of the confirmation back, after a pause of the process that its clock did not count.
     *
     * @param pause duration of the pause
     * @return the new state
     */
    public PolicyState withConfirmationAgedBy(Duration pause) {
        return new PolicyState(
                policy,
                recentVersions,
                confirmedAt.minus(pause),
                submission,
                nextPullAt,
                otherZoneVersion,
                behindSince,
                nextReadAt,
                reading);
    }

    PolicyState withSubmission(Optional<Submission> next) {
        return new PolicyState(
                policy,
                recentVersions,
                confirmedAt,
                next,
                nextPullAt,
                otherZoneVersion,
                behindSince,
                nextReadAt,
                reading);
    }

    PolicyState withNextPullAt(Instant at) {
        return new PolicyState(
                policy,
                recentVersions,
                confirmedAt,
                submission,
                at,
                otherZoneVersion,
                behindSince,
                nextReadAt,
                reading);
    }

    PolicyState withRead(Instant at, boolean inProgress) {
        return new PolicyState(
                policy,
                recentVersions,
                confirmedAt,
                submission,
                nextPullAt,
                otherZoneVersion,
                behindSince,
                at,
                inProgress);
    }

    PolicyState withOtherZoneVersion(OtherZoneVersion next) {
        return new PolicyState(
                policy, recentVersions, confirmedAt, submission, nextPullAt, next, behindSince, nextReadAt, reading);
    }

    PolicyState withBehindSince(Instant at) {
        return new PolicyState(
                policy,
                recentVersions,
                confirmedAt,
                submission,
                nextPullAt,
                otherZoneVersion,
                Optional.of(at),
                nextReadAt,
                reading);
    }
}
