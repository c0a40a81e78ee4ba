package org.heatherhaven.core.logic.policy;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.model.PolicyVersion;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The policy in force at this node and what it knows of newer ones.
 *
 * @param policy the policy in force
 * @param recentVersions the latest versions in order, for peers that lag behind
 * @param confirmedAt the latest moment at which the version in force is known to have been the newest
 * @param submission a patch of this node that is being committed
 * @param nextPullAt when missing versions are asked for next
 * @param otherZoneVersion newer version that another zone told of
 * @param nextReadAt when the platform is read next
 * @param reading true while a read of the platform is under way
 */
public record PolicyState(
        Policy policy,
        PVector<PolicyVersion> recentVersions,
        Instant confirmedAt,
        Optional<Submission> submission,
        Instant nextPullAt,
        OtherZoneVersion otherZoneVersion,
        Instant nextReadAt,
        boolean reading) {

    /**
     * A version that a node of another zone told of.
     *
     * @param version its number
     * @param firstReportedAt when it was first told
     */
    record OtherZoneVersion(long version, Instant firstReportedAt) {
        static final OtherZoneVersion NONE = new OtherZoneVersion(0, Instant.MIN);
    }

    /** Age of the platform's word at the start of a process, which has not had any. */
    private static final Duration INITIAL_CONFIRMATION_AGE = Duration.ofHours(1);

    /**
     * The state of a node that knows nothing.
     *
     * @param now start of the node
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
                now,
                false);
    }

    PolicyState withPolicy(Policy next, PVector<PolicyVersion> versions) {
        return new PolicyState(
                next, versions, confirmedAt, submission, nextPullAt, otherZoneVersion, nextReadAt, reading);
    }

    PolicyState withConfirmedAt(Instant at) {
        Instant latest = at.isAfter(confirmedAt) ? at : confirmedAt;
        return new PolicyState(
                policy, recentVersions, latest, submission, nextPullAt, otherZoneVersion, nextReadAt, reading);
    }

    /**
     * Takes the confirmation for older than it seemed.
     *
     * @param time how much older
     * @return the changed state
     */
    public PolicyState withConfirmationAgedBy(Duration time) {
        return new PolicyState(
                policy,
                recentVersions,
                confirmedAt.minus(time),
                submission,
                nextPullAt,
                otherZoneVersion,
                nextReadAt,
                reading);
    }

    PolicyState withSubmission(Optional<Submission> next) {
        return new PolicyState(
                policy, recentVersions, confirmedAt, next, nextPullAt, otherZoneVersion, nextReadAt, reading);
    }

    PolicyState withNextPullAt(Instant at) {
        return new PolicyState(
                policy, recentVersions, confirmedAt, submission, at, otherZoneVersion, nextReadAt, reading);
    }

    PolicyState withRead(Instant at, boolean underWay) {
        return new PolicyState(
                policy, recentVersions, confirmedAt, submission, nextPullAt, otherZoneVersion, at, underWay);
    }

    PolicyState withOtherZoneVersion(OtherZoneVersion next) {
        return new PolicyState(policy, recentVersions, confirmedAt, submission, nextPullAt, next, nextReadAt, reading);
    }
}
