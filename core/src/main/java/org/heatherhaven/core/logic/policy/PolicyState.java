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
 * @param recent the latest versions in order, for peers that lag behind
 * @param confirmedAt the latest moment at which the version in force is known to have been the newest
 * @param submission a patch of this node that is being committed
 * @param pullAt when missing versions are asked for next
 * @param far newer version that another zone told of
 * @param readAt when the platform is read next
 * @param reading true while a read of the platform is under way
 */
public record PolicyState(
        Policy policy,
        PVector<PolicyVersion> recent,
        Instant confirmedAt,
        Optional<Submission> submission,
        Instant pullAt,
        FarNews far,
        Instant readAt,
        boolean reading) {

    /**
     * A version that a node of another zone told of.
     *
     * @param version its number
     * @param since when it was first told
     */
    record FarNews(long version, Instant since) {
        static final FarNews NONE = new FarNews(0, Instant.MIN);
    }

    /** Age of the platform's word at the start of a process, which has not had any. */
    private static final Duration UNCONFIRMED = Duration.ofHours(1);

    /**
     * The state of a node that knows nothing.
     *
     * @param now start of the node
     * @return the state
     */
    public static PolicyState start(Instant now) {
        Instant unconfirmed = now.minus(UNCONFIRMED);
        return new PolicyState(
                Policy.EMPTY, TreePVector.empty(), unconfirmed, Optional.empty(), now, FarNews.NONE, now, false);
    }

    PolicyState withPolicy(Policy next, PVector<PolicyVersion> versions) {
        return new PolicyState(next, versions, confirmedAt, submission, pullAt, far, readAt, reading);
    }

    PolicyState withConfirmed(Instant at) {
        Instant latest = at.isAfter(confirmedAt) ? at : confirmedAt;
        return new PolicyState(policy, recent, latest, submission, pullAt, far, readAt, reading);
    }

    /**
     * Takes the confirmation for older than it seemed.
     *
     * @param time how much older
     * @return the changed state
     */
    public PolicyState aged(Duration time) {
        return new PolicyState(policy, recent, confirmedAt.minus(time), submission, pullAt, far, readAt, reading);
    }

    PolicyState withSubmission(Optional<Submission> next) {
        return new PolicyState(policy, recent, confirmedAt, next, pullAt, far, readAt, reading);
    }

    PolicyState withPullAt(Instant at) {
        return new PolicyState(policy, recent, confirmedAt, submission, at, far, readAt, reading);
    }

    PolicyState withRead(Instant at, boolean underWay) {
        return new PolicyState(policy, recent, confirmedAt, submission, pullAt, far, at, underWay);
    }

    PolicyState withFar(FarNews next) {
        return new PolicyState(policy, recent, confirmedAt, submission, pullAt, next, readAt, reading);
    }
}
