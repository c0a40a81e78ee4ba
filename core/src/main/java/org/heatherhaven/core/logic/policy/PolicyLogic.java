package org.heatherhaven.core.logic.policy;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Effect.PatchVerdict;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.event.PlatformEvent.PolicyRead;
import org.heatherhaven.core.event.PlatformEvent.PolicyWritten;
import org.heatherhaven.core.logic.policy.PolicyState.OtherZoneVersion;
import org.heatherhaven.core.message.PolicyPage;
import org.heatherhaven.core.message.PolicyPull;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.PolicyPatch;
import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.PolicyVersion;
import org.pcollections.PVector;

/**
 * Reducer of the policy state. Commits a patch by one conditional create on the platform; versions only ever increase.
 *
 * <p>The object of version N+1 can be created only once, so that of two concurrent patches only one succeeds. If the
 * response to the create is lost, the outcome is found by reading that object and comparing patch ids.
 */
public final class PolicyLogic {

    /** Number of versions that a node retains for peers with an older policy. */
    static final int RECENT_VERSIONS = 64;

    /** Number of versions between two snapshots on the platform. */
    static final int SNAPSHOT_INTERVAL = 32;

    /** Time after which a commit is given up with an unknown result. */
    private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(5);

    /** Delay of another create after the platform gave no definite response. */
    private static final Duration COMMIT_RETRY_DELAY = Duration.ofMillis(500);

    /** Minimum time between two requests to peers for missing versions. */
    private static final Duration PULL_INTERVAL = Duration.ofMillis(250);

    /** Delay of another read of the platform after one that failed. */
    private static final Duration READ_RETRY_DELAY = Duration.ofSeconds(1);

    /**
     * Time between two reads of the platform while there is no policy. The node that reads the first version sends it
     * to the others.
     */
    private static final Duration FIRST_POLICY_READ_INTERVAL = Duration.ofMillis(800);

    /** Age of the confirmation from which a node reads the platform itself, though it isn't a watcher. */
    private static final Duration STALE_CONFIRMATION_AGE = Duration.ofMillis(3_000);

    /**
     * Time by which a node that is not a watcher delays its reads of the platform, to receive the policy or its
     * confirmation from a watcher first.
     */
    private static final Duration WATCHER_UPDATE_WAIT = Duration.ofMillis(1_000);

    /**
     * Time for a newer version to arrive from this node's zone before it is requested from a peer in another zone. A
     * complete policy is large, so it should cross zones rarely.
     */
    private static final Duration OWN_ZONE_WAIT = Duration.ofMillis(300);

    /**
     * Time for a version that a peer reported to arrive from peers, before this node reads the platform itself. It leaves
     * time to do so within the two seconds in which a version must be in force.
     */
    private static final Duration PEER_VERSION_WAIT = Duration.ofMillis(600);

    private static final int VERSIONS_PER_PAGE = 32;

    private PolicyLogic() {}

    /**
     * Starts to commit a patch, or answers it immediately: it is accepted if it has been committed already, rejected if
     * it violates a rule or another patch is being committed at this node.
     *
     * @param state the current state
     * @param patch the patch
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static PolicyState submit(PolicyState state, PolicyPatch patch, Instant now, Outbox out) {
        Optional<PolicyVersion> committed = state.recentVersions().stream()
                .filter(version -> version.patch().id().equals(patch.id()))
                .findFirst();
        if (committed.isPresent()) {
            out.add(new Effect.AnswerPatch(
                    patch.id(), PatchVerdict.ACCEPTED, committed.get().version(), Optional.empty()));
            return state;
        }
        if (state.submission().isPresent()) {
            return reject(state, patch, "another patch is being committed at this node", out);
        }
        PolicyVersion next = new PolicyVersion(state.policy().version() + 1, patch);
        try {
            state.policy().apply(next);
        } catch (PolicyException e) {
            return reject(state, patch, e.getMessage(), out);
        }
        out.add(new Effect.WritePolicy(next));
        return state.withSubmission(
                Optional.of(new Submission(next, now.plus(COMMIT_TIMEOUT), now.plus(COMMIT_TIMEOUT))));
    }

    /**
     * Handles the platform's response to the create of a version.
     *
     * @param state the current state
     * @param written the response
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static PolicyState handleWriteResult(PolicyState state, PolicyWritten written, Instant now, Outbox out) {
        PolicyVersion version = written.version();
        boolean awaited = state.submission()
                .filter(submission -> submission.version().equals(version))
                .isPresent();
        return switch (written.result()) {
            case CREATED -> completeSubmission(applyIfNext(state, version, out), version, out);
            case EXISTS -> adoptExisting(state, written.existing().orElseThrow(), out);
            case UNKNOWN -> awaited ? scheduleRetry(state, now) : state;
        };
    }

    private static PolicyState adoptExisting(PolicyState state, PolicyVersion existing, Outbox out) {
        return completeSubmission(applyIfNext(state, existing, out), existing, out);
    }

    private static PolicyState scheduleRetry(PolicyState state, Instant now) {
        return state.withSubmission(state.submission()
                .map(submission ->
                        new Submission(submission.version(), submission.giveUpAt(), now.plus(COMMIT_RETRY_DELAY))));
    }

    /**
     * Applies what was read from the platform, and records that the version in force is confirmed as of the time at
     * which the read was sent.
     *
     * @param state the current state
     * @param read snapshot and versions that were read
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static PolicyState handleRead(PolicyState state, PolicyRead read, Instant now, Outbox out) {
        PolicyState next = applyAll(state, read.snapshot(), read.versions(), out);
        boolean withoutPolicy = next.policy().version() == 0;
        Instant nextReadAt = withoutPolicy ? now.plus(FIRST_POLICY_READ_INTERVAL) : now;
        return next.withConfirmedAt(now.minusMillis(read.requestedAgoMillis())).withRead(nextReadAt, false);
    }

    /**
     * Schedules another read after one that failed.
     *
     * @param state the current state
     * @param now current time
     * @return the new state
     */
    public static PolicyState handleReadFailure(PolicyState state, Instant now) {
        return state.withRead(now.plus(READ_RETRY_DELAY), false);
    }

    /**
     * Applies versions sent by a peer.
     *
     * @param state the current state
     * @param page snapshot and versions that the peer sent
     * @param out receives the effects
     * @return the new state
     */
    public static PolicyState handlePage(PolicyState state, PolicyPage page, Outbox out) {
        return applyAll(state, page.snapshot(), page.versions(), out);
    }

    /**
     * Sends a peer the versions that follow its own, or a snapshot if this node no longer has them all. Sends nothing
     * if the peer's policy is not older.
     *
     * @param state the current state
     * @param pull the request
     * @param out receives the effects
     */
    public static void handlePull(PolicyState state, PolicyPull pull, Outbox out) {
        long version = state.policy().version();
        if (pull.after() >= version) {
            return;
        }
        long oldest = state.recentVersions().isEmpty()
                ? version + 1
                : state.recentVersions().get(0).version();
        boolean retained = pull.after() + 1 >= oldest;
        Optional<PolicySnapshot> snapshot =
                retained ? Optional.empty() : Optional.of(state.policy().toSnapshot());
        List<PolicyVersion> versions = state.recentVersions().stream()
                .filter(known -> retained && known.version() > pull.after())
                .limit(VERSIONS_PER_PAGE)
                .toList();
        out.add(new Effect.Send(pull.from(), new PolicyPage(snapshot, versions)));
    }

    /**
     * Compares the version in force with that of a peer. The peer's confirmation of an equal version counts here too. A
     * newer version is requested from a peer in this node's zone immediately, from a peer in another zone only {@link
     * #OWN_ZONE_WAIT} after other zones first reported a newer version.
     *
     * @param state the current state
     * @param self address of this node
     * @param reported the peer's version
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static PolicyState handlePeerVersion(
            PolicyState state, NodeId self, PeerPolicyVersion reported, Instant now, Outbox out) {
        long version = state.policy().version();
        if (reported.version() == version && reported.confirmedAt().isPresent()) {
            return state.withConfirmedAt(reported.confirmedAt().get());
        }
        if (reported.version() <= version) {
            return state;
        }
        PolicyState next = state.behindSince().isPresent() ? state : state.withBehindSince(now);
        if (now.isBefore(next.nextPullAt())) {
            return next;
        }
        if (!reported.sameZone() && next.otherZoneVersion().version() <= version) {
            return next.withOtherZoneVersion(new OtherZoneVersion(reported.version(), now));
        }
        if (!reported.sameZone()
                && now.isBefore(next.otherZoneVersion().firstReportedAt().plus(OWN_ZONE_WAIT))) {
            return next;
        }
        out.add(new Effect.Send(reported.peer(), new PolicyPull(self, version)));
        return next.withNextPullAt(now.plus(PULL_INTERVAL));
    }

    /**
     * The policy version in force at a peer, as the peer reported it.
     *
     * @param peer address of the peer
     * @param sameZone true if the peer is in this node's zone
     * @param version number of the version
     * @param confirmedAt when that version is known to have been the newest, empty if unknown
     */
    public record PeerPolicyVersion(NodeId peer, boolean sameZone, long version, Optional<Instant> confirmedAt) {}

    /**
     * Advances the policy to the current time: reads the platform if a read is due, and retries or gives up a commit. A
     * read is due at once if a newer version was reported and has not arrived from peers.
     *
     * @param state the current state
     * @param watcher true if this node reads the platform for its zone or can't rely on the node that does
     * @param now current time
     * @param out receives the effects
     * @return the new state
     */
    public static PolicyState tick(PolicyState state, boolean watcher, Instant now, Outbox out) {
        PolicyState next = state;
        boolean stale = Duration.between(state.confirmedAt(), now).compareTo(STALE_CONFIRMATION_AGE) > 0;
        boolean withoutPolicy = state.policy().version() == 0;
        boolean behind = state.behindSince()
                .filter(since -> !now.isBefore(since.plus(PEER_VERSION_WAIT)))
                .isPresent();
        Instant readDueAt =
                watcher || behind ? state.nextReadAt() : state.nextReadAt().plus(WATCHER_UPDATE_WAIT);
        if ((watcher || stale || withoutPolicy || behind) && !state.reading() && !now.isBefore(readDueAt)) {
            out.add(new Effect.ReadPolicy(state.policy().version()));
            next = next.withRead(now, true);
        }
        return tickSubmission(next, now, out);
    }

    private static PolicyState tickSubmission(PolicyState state, Instant now, Outbox out) {
        if (state.submission().isEmpty()) {
            return state;
        }
        Submission submission = state.submission().get();
        if (!now.isBefore(submission.giveUpAt())) {
            out.add(new Effect.AnswerPatch(
                    submission.version().patch().id(),
                    PatchVerdict.UNKNOWN,
                    state.policy().version(),
                    Optional.of("the platform gave no certain answer")));
            return state.withSubmission(Optional.empty());
        }
        if (now.isBefore(submission.retryAt())) {
            return state;
        }
        // A retry names the same object, so that it can't create a second version.
        out.add(new Effect.WritePolicy(submission.version()));
        return state.withSubmission(
                Optional.of(new Submission(submission.version(), submission.giveUpAt(), now.plus(COMMIT_TIMEOUT))));
    }

    /** Applies a snapshot if it is newer than the policy in force, then the versions that follow. */
    private static PolicyState applyAll(
            PolicyState state, Optional<PolicySnapshot> snapshot, List<PolicyVersion> versions, Outbox out) {
        PolicyState next = state;
        if (snapshot.isPresent() && snapshot.get().version() > state.policy().version()) {
            next = next.withPolicy(
                    Policy.fromSnapshot(snapshot.get()), next.recentVersions().minusAll(next.recentVersions()));
        }
        for (PolicyVersion version : versions) {
            next = applyIfNext(next, version, out);
        }
        return next;
    }

    /** Applies a version if its number follows the one in force, and ignores it otherwise. */
    private static PolicyState applyIfNext(PolicyState state, PolicyVersion version, Outbox out) {
        if (version.version() != state.policy().version() + 1) {
            return state;
        }
        Policy policy = state.policy().apply(version);
        PVector<PolicyVersion> recent = state.recentVersions().plus(version);
        if (recent.size() > RECENT_VERSIONS) {
            recent = recent.minus(0);
        }
        PolicyState next = state.withPolicy(policy, recent);
        boolean committedHere = state.submission()
                .filter(submission -> submission.version().equals(version))
                .isPresent();
        if (committedHere && version.version() % SNAPSHOT_INTERVAL == 0) {
            out.add(new Effect.WriteSnapshot(policy.toSnapshot()));
        }
        return completeSubmission(next, version, out);
    }

    /**
     * Answers the patch being committed once its version number is in use: it is accepted if it created that version,
     * rejected if another patch did.
     */
    private static PolicyState completeSubmission(PolicyState state, PolicyVersion version, Outbox out) {
        Optional<Submission> submission = state.submission();
        if (submission.isEmpty() || submission.get().version().version() != version.version()) {
            return state;
        }
        String id = submission.get().version().patch().id();
        boolean accepted = version.patch().id().equals(id);
        out.add(new Effect.AnswerPatch(
                id,
                accepted ? PatchVerdict.ACCEPTED : PatchVerdict.REJECTED,
                version.version(),
                accepted ? Optional.empty() : Optional.of("another patch created version " + version.version())));
        return state.withSubmission(Optional.empty());
    }

    private static PolicyState reject(PolicyState state, PolicyPatch patch, String reason, Outbox out) {
        long version = state.policy().version();
        out.add(new Effect.AnswerPatch(patch.id(), PatchVerdict.REJECTED, version, Optional.of(reason)));
        return state;
    }
}
