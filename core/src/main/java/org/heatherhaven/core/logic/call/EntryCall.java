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
 * @param retries retry budget left
 * @param lent part of the budget that went down with the present attempt
 * @param attempt number of the present attempt, 0 before the first
 * @param target node of the present attempt
 * @param tried nodes tried so far
 * @param keep fewest cohorts reported, of {@link Signal#BUCKETS}
 * @param askAt when the permit is asked for again
 * @param permitted true once a permit was won
 * @param reached true once an attempt reached a target, whether or not it ran
 * @param mayHaveRun true once an attempt ended without proof that it did not run
 */
public record EntryCall(
        CallInfo info,
        Stage stage,
        int retries,
        int lent,
        int attempt,
        Optional<NodeId> target,
        PSet<NodeId> tried,
        int keep,
        Instant askAt,
        boolean permitted,
        boolean reached,
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
                Signal.BUCKETS,
                Instant.MIN,
                false,
                false,
                false);
    }

    public EntryCall withStage(Stage next, Instant askAgainAt) {
        return new EntryCall(
                info, next, retries, lent, attempt, target, tried, keep, askAgainAt, permitted, reached, mayHaveRun);
    }

    public EntryCall withPermit() {
        return new EntryCall(
                info, stage, retries, lent, attempt, target, tried, keep, askAt, true, reached, mayHaveRun);
    }

    public EntryCall sent(NodeId node, int handedDown) {
        return new EntryCall(
                info,
                Stage.ANSWER,
                retries - handedDown,
                handedDown,
                attempt + 1,
                Optional.of(node),
                tried.plus(node),
                keep,
                askAt,
                permitted,
                reached,
                mayHaveRun);
    }

    /** What the present attempt is to the service. */
    public AttemptKind kind() {
        if (reached) {
            return AttemptKind.RETRY;
        }
        return attempt > 1 ? AttemptKind.REROUTED : AttemptKind.FIRST;
    }

    /** Takes back what an attempt left of its part of the budget, never more than it got. */
    public EntryCall cameBack(int unspent, int kept) {
        int back = Math.max(0, Math.min(lent, unspent));
        return new EntryCall(
                info,
                stage,
                retries + back,
                0,
                attempt,
                target,
                tried,
                Math.min(keep, kept),
                askAt,
                permitted,
                reached,
                mayHaveRun);
    }

    /** Pays for another attempt after one that reached a target. */
    public EntryCall paidForRetry() {
        return new EntryCall(
                info, stage, retries - 1, lent, attempt, target, tried, keep, askAt, permitted, true, mayHaveRun);
    }

    /** Remembers that an attempt may have run, whatever becomes of those that follow. */
    public EntryCall uncertain() {
        return new EntryCall(info, stage, retries, lent, attempt, target, tried, keep, askAt, permitted, reached, true);
    }
}
