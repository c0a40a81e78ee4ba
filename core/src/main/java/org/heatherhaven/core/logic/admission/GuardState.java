package org.heatherhaven.core.logic.admission;

import java.time.Duration;
import java.time.Instant;

import org.heatherhaven.core.event.OfferKey;
import org.heatherhaven.core.model.TargetRef;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The calls at this node's target.
 *
 * @param mode way of guarding
 * @param slots number of calls that the target says it works on at a time
 * @param limit number of calls that are handed to it at present
 * @param running calls that it works on, by offer
 * @param contexts offers by context id
 * @param queue calls that wait
 * @param served calls recently handed to the target, by team, fading
 * @param serviceTime smoothed time that the target takes for a call
 * @param capacity smoothed number of calls that it finishes in a window while saturated
 * @param demand counts of the current window
 * @param keeps what is shed at present
 * @param windowEndsAt when the current window ends
 * @param refuseFrom when new calls are refused because the node is leaving; far future if it is not
 * @param target the process life that runs the calls
 * @param gauge how far what comes exceeds what the target can do
 * @param below pressure behind the calls that the target makes for runs of each route
 */
public record GuardState(
        AdmissionMode mode,
        int slots,
        double limit,
        PMap<OfferKey, Running> running,
        PMap<String, OfferKey> contexts,
        PVector<Waiting> queue,
        PMap<String, Double> served,
        Duration serviceTime,
        double capacity,
        Demand demand,
        KeepTable keeps,
        Instant windowEndsAt,
        Instant refuseFrom,
        GuardedTarget target,
        Gauge gauge,
        PMap<String, Integer> below) {

    /** Part of the slots that a cold target starts with. */
    private static final double COLD_PART = 0.25;

    private static final double SMALLEST_START = 2;

    /** Part of the reported slots that is used. */
    private static final double FULL_PART = 0.94;

    /**
     * The state of a node whose target is idle.
     *
     * @param mode way of guarding
     * @param slots number of calls that the target says it works on at a time
     * @param now start of the node
     * @return the state
     */
    public static GuardState start(AdmissionMode mode, int slots, Instant now) {
        return new GuardState(
                mode,
                slots,
                coldLimit(slots),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                TreePVector.empty(),
                HashTreePMap.empty(),
                Duration.ZERO,
                0,
                Demand.NONE,
                KeepTable.ALL,
                now,
                Instant.MAX,
                GuardedTarget.NONE,
                Gauge.CALM,
                HashTreePMap.empty());
    }

    /**
     * Number of calls in work or waiting.
     *
     * @return calls
     */
    public int inFlight() {
        return running.size() + queue.size();
    }

    /**
     * Load as told upstream.
     *
     * @return thousandths of the limit
     */
    public int load() {
        return limit <= 0 ? 0 : (int) (1_000 * inFlight() / limit);
    }

    GuardState withLimit(double next) {
        return new GuardState(
                mode,
                slots,
                next,
                running,
                contexts,
                queue,
                served,
                serviceTime,
                capacity,
                demand,
                keeps,
                windowEndsAt,
                refuseFrom,
                target,
                gauge,
                below);
    }

    GuardState withRunning(PMap<OfferKey, Running> next) {
        return new GuardState(
                mode,
                slots,
                limit,
                next,
                contexts,
                queue,
                served,
                serviceTime,
                capacity,
                demand,
                keeps,
                windowEndsAt,
                refuseFrom,
                target,
                gauge,
                below);
    }

    GuardState withContexts(PMap<String, OfferKey> next) {
        return new GuardState(
                mode,
                slots,
                limit,
                running,
                next,
                queue,
                served,
                serviceTime,
                capacity,
                demand,
                keeps,
                windowEndsAt,
                refuseFrom,
                target,
                gauge,
                below);
    }

    GuardState withQueue(PVector<Waiting> next) {
        return new GuardState(
                mode,
                slots,
                limit,
                running,
                contexts,
                next,
                served,
                serviceTime,
                capacity,
                demand,
                keeps,
                windowEndsAt,
                refuseFrom,
                target,
                gauge,
                below);
    }

    GuardState withServed(PMap<String, Double> next) {
        return new GuardState(
                mode,
                slots,
                limit,
                running,
                contexts,
                queue,
                next,
                serviceTime,
                capacity,
                demand,
                keeps,
                windowEndsAt,
                refuseFrom,
                target,
                gauge,
                below);
    }

    GuardState withServiceTime(Duration next) {
        return new GuardState(
                mode,
                slots,
                limit,
                running,
                contexts,
                queue,
                served,
                next,
                capacity,
                demand,
                keeps,
                windowEndsAt,
                refuseFrom,
                target,
                gauge,
                below);
    }

    GuardState withDemand(Demand next) {
        return new GuardState(
                mode,
                slots,
                limit,
                running,
                contexts,
                queue,
                served,
                serviceTime,
                capacity,
                next,
                keeps,
                windowEndsAt,
                refuseFrom,
                target,
                gauge,
                below);
    }

    GuardState withWindow(double nextCapacity, KeepTable nextKeeps, Instant endsAt) {
        return new GuardState(
                mode,
                slots,
                limit,
                running,
                contexts,
                queue,
                served,
                serviceTime,
                nextCapacity,
                Demand.NONE,
                nextKeeps,
                endsAt,
                refuseFrom,
                target,
                gauge,
                below);
    }

    GuardState withRefuseFrom(Instant at) {
        return new GuardState(
                mode,
                slots,
                limit,
                running,
                contexts,
                queue,
                served,
                serviceTime,
                capacity,
                demand,
                keeps,
                windowEndsAt,
                at,
                target,
                gauge,
                below);
    }

    GuardState withTarget(GuardedTarget next) {
        return new GuardState(
                mode,
                slots,
                limit,
                running,
                contexts,
                queue,
                served,
                serviceTime,
                capacity,
                demand,
                keeps,
                windowEndsAt,
                refuseFrom,
                next,
                gauge,
                below);
    }

    /** Starts afresh with another process life of the target; what the one before works on goes on. */
    GuardState replaced(TargetRef next, int nextSlots) {
        return new GuardState(
                mode,
                nextSlots,
                next.instance().isEmpty() ? coldLimit(nextSlots) : reportedLimit(nextSlots),
                running,
                contexts,
                queue,
                served,
                serviceTime,
                capacity,
                demand,
                keeps,
                windowEndsAt,
                refuseFrom,
                GuardedTarget.of(next),
                Gauge.CALM,
                below);
    }

    /** A target that reports its slots is believed; it is kept from being quite full, where some slow down. */
    private static double reportedLimit(int slots) {
        return Math.max(1, Math.floor(slots * FULL_PART));
    }

    private static double coldLimit(int slots) {
        return Math.min(slots, Math.max(SMALLEST_START, slots * COLD_PART));
    }

    GuardState withGauge(Gauge next) {
        return new GuardState(
                mode,
                slots,
                limit,
                running,
                contexts,
                queue,
                served,
                serviceTime,
                capacity,
                demand,
                keeps,
                windowEndsAt,
                refuseFrom,
                target,
                next,
                below);
    }

    GuardState withBelow(PMap<String, Integer> next) {
        return new GuardState(
                mode,
                slots,
                limit,
                running,
                contexts,
                queue,
                served,
                serviceTime,
                capacity,
                demand,
                keeps,
                windowEndsAt,
                refuseFrom,
                target,
                gauge,
                next);
    }
}
