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
import org.heatherhaven.core.logic.policy.PolicyState.FarNews;
import org.heatherhaven.core.message.PolicyPage;
import org.heatherhaven.core.message.PolicyPull;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.PolicyPatch;
import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.PolicyVersion;
import org.pcollections.PVector;

/**
 * Reducer of the policy: commits patches by one conditional creation, and only ever moves forward.
 *
 * <p>The object of version N+1 can be created once, so two operators can't both win, and a lost answer is settled by
 * reading that object and comparing patch ids.
 */
public final class PolicyLogic {

    /** Versions kept for peers that lag behind. */
    static final int RECENT_VERSIONS = 64;

    /** Versions between two snapshots on the platform. */
    static final int SNAPSHOT_INTERVAL = 32;

    private static final Duration COMMIT_LIMIT = Duration.ofSeconds(5);
    private static final Duration COMMIT_RETRY = Duration.ofMillis(500);
    private static final Duration PULL_PAUSE = Duration.ofMillis(250);
    private static final Duration READ_RETRY = Duration.ofSeconds(1);

    /** Between two reads while there is no policy yet; whoever finds the first one tells the others. */
    private static final Duration FIRST_READ_PAUSE = Duration.ofMillis(800);

    /** Without news of the watchers for this long a node asks the platform itself. */
    private static final Duration STALE_AFTER = Duration.ofMillis(3_000);

    /** Who does not watch the platform for others waits so long for their word before it asks. */
    private static final Duration PEERS_TELL = Duration.ofMillis(1_000);

    /** A whole policy is large: another zone is asked for it only if none nearby has told of it for so long. */
    private static final Duration NEAR_TELL = Duration.ofMillis(300);

    private static final int PAGE_VERSIONS = 32;

    private PolicyLogic() {}

    /**
     * Starts to commit a patch, or answers it at once.
     *
     * @param state the state
     * @param patch the patch
     * @param now current time
     * @param out takes the effects
     * @return the new state
     */
    public static PolicyState submit(PolicyState state, PolicyPatch patch, Instant now, Outbox out) {
        Optional<PolicyVersion> earlier = state.recent().stream()
                .filter(version -> version.patch().id().equals(patch.id()))
                .findFirst();
        if (earlier.isPresent()) {
            out.add(new Effect.AnswerPatch(
                    patch.id(), PatchVerdict.ACCEPTED, earlier.get().version(), Optional.empty()));
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
        return state.withSubmission(Optional.of(new Submission(next, now.plus(COMMIT_LIMIT), now.plus(COMMIT_LIMIT))));
    }

    /**
     * Takes the platform's answer to the creation of a version.
     *
     * @param state the state
     * @param written the answer
     * @param now current time
     * @param out takes the effects
     * @return the new state
     */
    public static PolicyState written(PolicyState state, PolicyWritten written, Instant now, Outbox out) {
        PolicyVersion version = written.version();
        boolean awaited = state.submission()
                .filter(submission -> submission.version().equals(version))
                .isPresent();
        return switch (written.result()) {
            case CREATED -> settle(advance(state, version, out), version, out);
            case EXISTS -> settleExisting(state, written.existing().orElseThrow(), out);
            case UNKNOWN -> awaited ? retryLater(state, now) : state;
        };
    }

    private static PolicyState settleExisting(PolicyState state, PolicyVersion existing, Outbox out) {
        return settle(advance(state, existing, out), existing, out);
    }

    private static PolicyState retryLater(PolicyState state, Instant now) {
        return state.withSubmission(state.submission()
                .map(waiting -> new Submission(waiting.version(), waiting.giveUpAt(), now.plus(COMMIT_RETRY))));
    }

    /**
     * Takes versions read from the platform.
     *
     * @param state the state
     * @param read what was read
     * @param now current time
     * @param out takes the effects
     * @return the new state
     */
    public static PolicyState read(PolicyState state, PolicyRead read, Instant now, Outbox out) {
        PolicyState next = absorb(state, read.snapshot(), read.versions(), out);
        boolean unknown = next.policy().version() == 0;
        Instant again = unknown ? now.plus(FIRST_READ_PAUSE) : now;
        return next.withConfirmed(now.minusMillis(read.requestedAgoMillis())).withRead(again, false);
    }

    /**
     * Notes that the platform could not be read.
     *
     * @param state the state
     * @param now current time
     * @return the new state
     */
    public static PolicyState readFailed(PolicyState state, Instant now) {
        return state.withRead(now.plus(READ_RETRY), false);
    }

    /**
     * Takes versions sent by a peer.
     *
     * @param state the state
     * @param page what the peer sent
     * @param out takes the effects
     * @return the new state
     */
    public static PolicyState page(PolicyState state, PolicyPage page, Outbox out) {
        return absorb(state, page.snapshot(), page.versions(), out);
    }

    /**
     * Answers a peer that lags behind.
     *
     * @param state the state
     * @param pull the question
     * @param out takes the effects
     */
    public static void answerPull(PolicyState state, PolicyPull pull, Outbox out) {
        long version = state.policy().version();
        if (pull.after() >= version) {
            return;
        }
        long oldest =
                state.recent().isEmpty() ? version + 1 : state.recent().get(0).version();
        boolean covered = pull.after() + 1 >= oldest;
        Optional<PolicySnapshot> snapshot =
                covered ? Optional.empty() : Optional.of(state.policy().toSnapshot());
        List<PolicyVersion> versions = state.recent().stream()
                .filter(known -> covered && known.version() > pull.after())
                .limit(PAGE_VERSIONS)
                .toList();
        out.add(new Effect.Send(pull.from(), new PolicyPage(snapshot, versions)));
    }

    /**
     * Compares the version in force with that of a peer, and asks for what is missing.
     *
     * @param state the state
     * @param self this node
     * @param word what the peer said of its version
     * @param now current time
     * @param out takes the effects
     * @return the new state
     */
    public static PolicyState heard(PolicyState state, NodeId self, PeerWord word, Instant now, Outbox out) {
        long version = state.policy().version();
        if (word.version() == version && word.confirmedAt().isPresent()) {
            return state.withConfirmed(word.confirmedAt().get());
        }
        if (word.version() <= version || now.isBefore(state.pullAt())) {
            return state;
        }
        if (!word.near() && state.far().version() <= version) {
            return state.withFar(new FarNews(word.version(), now));
        }
        if (!word.near() && now.isBefore(state.far().since().plus(NEAR_TELL))) {
            return state;
        }
        out.add(new Effect.Send(word.peer(), new PolicyPull(self, version)));
        return state.withPullAt(now.plus(PULL_PAUSE));
    }

    /**
     * What a peer said of the policy in force there.
     *
     * @param peer the peer
     * @param near true if it is in this node's zone
     * @param version its version
     * @param confirmedAt when that version is known to have been the newest
     */
    public record PeerWord(NodeId peer, boolean near, long version, Optional<Instant> confirmedAt) {}

    /**
     * Lets time pass: retries a commit, and keeps the zone's watch on the platform.
     *
     * @param state the state
     * @param watcher true if this node watches the platform for its zone
     * @param now current time
     * @param out takes the effects
     * @return the new state
     */
    public static PolicyState tick(PolicyState state, boolean watcher, Instant now, Outbox out) {
        PolicyState next = state;
        boolean stale = Duration.between(state.confirmedAt(), now).compareTo(STALE_AFTER) > 0;
        boolean unknown = state.policy().version() == 0;
        Instant due = watcher ? state.readAt() : state.readAt().plus(PEERS_TELL);
        if ((watcher || stale || unknown) && !state.reading() && !now.isBefore(due)) {
            out.add(new Effect.ReadPolicy(state.policy().version()));
            next = next.withRead(now, true);
        }
        return tickSubmission(next, now, out);
    }

    private static PolicyState tickSubmission(PolicyState state, Instant now, Outbox out) {
        if (state.submission().isEmpty()) {
            return state;
        }
        Submission waiting = state.submission().get();
        if (!now.isBefore(waiting.giveUpAt())) {
            out.add(new Effect.AnswerPatch(
                    waiting.version().patch().id(),
                    PatchVerdict.UNKNOWN,
                    state.policy().version(),
                    Optional.of("the platform gave no certain answer")));
            return state.withSubmission(Optional.empty());
        }
        if (now.isBefore(waiting.retryAt())) {
            return state;
        }
        // The creation names one object, so that trying again can't create a second version.
        out.add(new Effect.WritePolicy(waiting.version()));
        return state.withSubmission(
                Optional.of(new Submission(waiting.version(), waiting.giveUpAt(), now.plus(COMMIT_LIMIT))));
    }

    private static PolicyState absorb(
            PolicyState state, Optional<PolicySnapshot> snapshot, List<PolicyVersion> versions, Outbox out) {
        PolicyState next = state;
        if (snapshot.isPresent() && snapshot.get().version() > state.policy().version()) {
            next = next.withPolicy(Policy.of(snapshot.get()), next.recent().minusAll(next.recent()));
        }
        for (PolicyVersion version : versions) {
            next = advance(next, version, out);
        }
        return next;
    }

    private static PolicyState advance(PolicyState state, PolicyVersion version, Outbox out) {
        if (version.version() != state.policy().version() + 1) {
            return state;
        }
        Policy policy = state.policy().apply(version);
        PVector<PolicyVersion> recent = state.recent().plus(version);
        if (recent.size() > RECENT_VERSIONS) {
            recent = recent.minus(0);
        }
        PolicyState next = state.withPolicy(policy, recent);
        boolean mine = state.submission()
                .filter(submission -> submission.version().equals(version))
                .isPresent();
        if (mine && version.version() % SNAPSHOT_INTERVAL == 0) {
            out.add(new Effect.WriteSnapshot(policy.toSnapshot()));
        }
        return settle(next, version, out);
    }

    private static PolicyState settle(PolicyState state, PolicyVersion version, Outbox out) {
        Optional<Submission> waiting = state.submission();
        if (waiting.isEmpty() || waiting.get().version().version() != version.version()) {
            return state;
        }
        String id = waiting.get().version().patch().id();
        boolean won = version.patch().id().equals(id);
        out.add(new Effect.AnswerPatch(
                id,
                won ? PatchVerdict.ACCEPTED : PatchVerdict.REJECTED,
                version.version(),
                won ? Optional.empty() : Optional.of("another patch created version " + version.version())));
        return state.withSubmission(Optional.empty());
    }

    private static PolicyState reject(PolicyState state, PolicyPatch patch, String reason, Outbox out) {
        long version = state.policy().version();
        out.add(new Effect.AnswerPatch(patch.id(), PatchVerdict.REJECTED, version, Optional.of(reason)));
        return state;
    }
}
