package org.heatherhaven.core.logic.call;

import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.model.AttemptKind;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Signal;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * A call on its way.
 *
 * @param info what stays the same
 * @param stage what it waits for
 * @param retriesLeft retry budget left
 * @param retriesLent part of the budget that went down with the present attempt
 * @param attempt number of the present attempt, 0 before the first
 * @param target node of the present attempt
 * @param triedNodes nodes tried so far
 * @param admissionThreshold fewest cohorts reported, of {@link Signal#COHORTS}
 * @param nextPermitRequestAt when the permit is asked for again
 * @param permitted true once a permit was won
 * @param reachedTarget true once an attempt reached a target, whether or not it ran
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
        TOKEN,
        PERMIT,
        ANSWER
    }

    public static EntryCall arrived(CallInfo info, Stage stage, int retries) {
        return new EntryCall(
                info,
                stage,
                retries,
                0,
                0,
                Optional.empty(),
                HashTreePSet.empty(),
                Signal.COHORTS,
                Instant.MIN,
                false,
                false,
                false);
    }

    public EntryCall withStage(Stage next, Instant askAgainAt) {
        return new EntryCall(
                info,
                next,
                retriesLeft,
                retriesLent,
                attempt,
                target,
                triedNodes,
                admissionThreshold,
                askAgainAt,
                permitted,
                reachedTarget,
                mayHaveRun);
    }

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

    public EntryCall withNextAttempt(NodeId node, int handedDown) {
        return new EntryCall(
                info,
                Stage.ANSWER,
                retriesLeft - handedDown,
                handedDown,
                attempt + 1,
                Optional.of(node),
                triedNodes.plus(node),
                admissionThreshold,
                nextPermitRequestAt,
                permitted,
                reachedTarget,
                mayHaveRun);
    }

    /** What the present attempt is to the service. */
    public AttemptKind attemptKind() {
        if (reachedTarget) {
            return AttemptKind.REPEAT;
        }
        return attempt > 1 ? AttemptKind.REROUTED : AttemptKind.FIRST;
    }

    /** Takes back what an attempt left of its part of the budget, never more than it got. */
    public EntryCall withAttemptEnded(int unspent, int kept) {
        int back = Math.max(0, Math.min(retriesLent, unspent));
        return new EntryCall(
                info,
                stage,
                retriesLeft + back,
                0,
                attempt,
                target,
                triedNodes,
                Math.min(admissionThreshold, kept),
                nextPermitRequestAt,
                permitted,
                reachedTarget,
                mayHaveRun);
    }

    /** Pays for another attempt after one that reached a target. */
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

    /** Remembers that an attempt may have run, whatever becomes of those that follow. */
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
