package org.heatherhaven.core.logic.call;

import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.model.AttemptKind;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Signal;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * The state of a call in progress at its entry node.
 *
 * @param info data that stay the same
 * @param stage what it waits for
 * @param retriesLeft retries left, without those lent to the current attempt
 * @param retriesLent retries lent to the current attempt, for the calls that the target makes
 * @param attempt number of the current attempt, 0 before the first
 * @param target node of the current attempt, empty before the first
 * @param triedNodes nodes that attempts were sent to
 * @param admissionThreshold lowest admission threshold that an attempt reported, in hash buckets of {@link
 *     Signal#BUCKETS}
 * @param nextPermitRequestAt when the permit is requested again
 * @param permitted true once a permit was granted
 * @param reachedTarget true once a retry follows an attempt that reached a target, whether or not it ran
 * @param mayHaveRun true once an attempt ended without proof that it did not run
 */
public record EntryCall(
        CallInfo info,
        Stage stage,
        int retriesLeft,
        int retriesLent,
        int attempt,
        Optional<NodeId> target,
        PSet<NodeId> triedNodes,
        int admissionThreshold,
        Instant nextPermitRequestAt,
        boolean permitted,
        boolean reachedTarget,
        boolean mayHaveRun) {

    /** What a call waits for. */
    public enum Stage {
        /** A token of its team's rate. */
        TOKEN,
        /** An idempotency permit. */
        PERMIT,
        /** The end of the current attempt. */
        ANSWER,
        /** The end of the current attempt, which was withdrawn because this node stops; no other attempt follows. */
        WITHDRAWN;

        /**
         * Returns whether an attempt was sent whose end is not known.
         *
         * @return true while an attempt is in progress
         */
        public boolean attemptInProgress() {
            return this == ANSWER || this == WITHDRAWN;
        }
    }

    /**
     * Creates a call that has just arrived.
     *
     * @param info data that stay the same
     * @param stage what it waits for first
     * @param retries retry budget
     * @return the call before its first attempt
     */
    public static EntryCall arrived(CallInfo info, Stage stage, int retries) {
        return new EntryCall(
                info,
                stage,
                retries,
                0,
                0,
                Optional.empty(),
                HashTreePSet.empty(),
                Signal.BUCKETS,
                Instant.MIN,
                false,
                false,
                false);
    }

    /**
     * Changes what the call waits for.
     *
     * @param next what it waits for now
     * @param nextRequestAt when the permit is requested again
     * @return the changed call
     */
    public EntryCall withStage(Stage next, Instant nextRequestAt) {
        return new EntryCall(
                info,
                next,
                retriesLeft,
                retriesLent,
                attempt,
                target,
                triedNodes,
                admissionThreshold,
                nextRequestAt,
                permitted,
                reachedTarget,
                mayHaveRun);
    }

    /**
     * Records that the permit was granted.
     *
     * @return the permitted call
     */
    public EntryCall withPermit() {
        return new EntryCall(
                info,
                stage,
                retriesLeft,
                retriesLent,
                attempt,
                target,
                triedNodes,
                admissionThreshold,
                nextPermitRequestAt,
                true,
                reachedTarget,
                mayHaveRun);
    }

    /**
     * Starts the next attempt.
     *
     * @param node node of the target that it is sent to
     * @param lentRetries retries lent to the attempt
     * @return the call that waits for the attempt's end
     */
    public EntryCall withNextAttempt(NodeId node, int lentRetries) {
        return new EntryCall(
                info,
                Stage.ANSWER,
                retriesLeft - lentRetries,
                lentRetries,
                attempt + 1,
                Optional.of(node),
                triedNodes.plus(node),
                admissionThreshold,
                nextPermitRequestAt,
                permitted,
                reachedTarget,
                mayHaveRun);
    }

    /**
     * Returns how the nodes of the service count the current attempt.
     *
     * @return a retry once an attempt has reached a target
     */
    public AttemptKind attemptKind() {
        if (reachedTarget) {
            return AttemptKind.RETRY;
        }
        return attempt > 1 ? AttemptKind.REROUTED : AttemptKind.FIRST;
    }

    /**
     * Ends the current attempt and recovers its unspent retries.
     *
     * @param unspentRetries retries that the target's node reports as unspent; no more than were lent are recovered
     * @param reportedThreshold admission threshold that it reports, in hash buckets of {@link Signal#BUCKETS}
     * @return the call between two attempts
     */
    public EntryCall withAttemptEnded(int unspentRetries, int reportedThreshold) {
        int recovered = Math.max(0, Math.min(retriesLent, unspentRetries));
        return new EntryCall(
                info,
                stage,
                retriesLeft + recovered,
                0,
                attempt,
                target,
                triedNodes,
                Math.min(admissionThreshold, reportedThreshold),
                nextPermitRequestAt,
                permitted,
                reachedTarget,
                mayHaveRun);
    }

    /**
     * Charges one retry for another attempt after one that reached a target.
     *
     * @return the call with one retry less
     */
    public EntryCall withRetryCharged() {
        return new EntryCall(
                info,
                stage,
                retriesLeft - 1,
                retriesLent,
                attempt,
                target,
                triedNodes,
                admissionThreshold,
                nextPermitRequestAt,
                permitted,
                true,
                mayHaveRun);
    }

    /**
     * Records that an attempt may have run, whatever the outcome of later attempts.
     *
     * @return the call marked as possibly run
     */
    public EntryCall withPossibleRun() {
        return new EntryCall(
                info,
                stage,
                retriesLeft,
                retriesLent,
                attempt,
                target,
                triedNodes,
                admissionThreshold,
                nextPermitRequestAt,
                permitted,
                reachedTarget,
                true);
    }
}
