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
 * @param thresholds what is shed at present
 * @param windowEndsAt when the current window ends
 * @param refuseFrom when new calls are refused because the node is leaving; far future if it is not
 * @param target the process life that runs the calls
 * @param pressureController how far what comes exceeds what the target can do
 * @param downstreamPressure pressure behind the calls that the target makes for runs of each route
 */
public record AdmissionState(
        AdmissionMode mode,
        int slots,
        double limit,
        PMap<OfferKey, RunningCall> running,
        PMap<String, OfferKey> contexts,
        PVector<QueuedCall> queue,
        PMap<String, Double> served,
        Duration serviceTime,
        double capacity,
        WindowCounts demand,
        AdmissionThresholds thresholds,
        Instant windowEndsAt,
        Instant refuseFrom,
        AdmissionTarget target,
        PressureController pressureController,
        PMap<String, Integer> downstreamPressure) {

    /** Part of the slots that a cold target starts with. */
    private static final double COLD_START_FRACTION = 0.25;

    private static final double MIN_START_LIMIT = 2;

    /** Part of the reported slots that is used. */
    private static final double USED_SLOTS_FRACTION = 0.94;

    /**
     * The state of a node whose target is idle.
     *
     * @param mode way of guarding
     * @param slots number of calls that the target says it works on at a time
     * @param now start of the node
     * @return the state
     */
    public static AdmissionState start(AdmissionMode mode, int slots, Instant now) {
        return new AdmissionState(
                mode,
                slots,
                coldLimit(slots),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                TreePVector.empty(),
                HashTreePMap.empty(),
                Duration.ZERO,
                0,
                WindowCounts.NONE,
                AdmissionThresholds.ADMIT_ALL,
                now,
                Instant.MAX,
                AdmissionTarget.NONE,
                PressureController.INITIAL,
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

    AdmissionState withLimit(double next) {
        return new AdmissionState(
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
                thresholds,
                windowEndsAt,
                refuseFrom,
                target,
                pressureController,
                downstreamPressure);
    }

    AdmissionState withRunning(PMap<OfferKey, RunningCall> next) {
        return new AdmissionState(
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
                thresholds,
                windowEndsAt,
                refuseFrom,
                target,
                pressureController,
                downstreamPressure);
    }

    AdmissionState withContexts(PMap<String, OfferKey> next) {
        return new AdmissionState(
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
                thresholds,
                windowEndsAt,
                refuseFrom,
                target,
                pressureController,
                downstreamPressure);
    }

    AdmissionState withQueue(PVector<QueuedCall> next) {
        return new AdmissionState(
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
                thresholds,
                windowEndsAt,
                refuseFrom,
                target,
                pressureController,
                downstreamPressure);
    }

    AdmissionState withServed(PMap<String, Double> next) {
        return new AdmissionState(
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
                thresholds,
                windowEndsAt,
                refuseFrom,
                target,
                pressureController,
                downstreamPressure);
    }

    AdmissionState withServiceTime(Duration next) {
        return new AdmissionState(
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
                thresholds,
                windowEndsAt,
                refuseFrom,
                target,
                pressureController,
                downstreamPressure);
    }

    AdmissionState withDemand(WindowCounts next) {
        return new AdmissionState(
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
                thresholds,
                windowEndsAt,
                refuseFrom,
                target,
                pressureController,
                downstreamPressure);
    }

    AdmissionState withWindow(double nextCapacity, AdmissionThresholds nextKeeps, Instant endsAt) {
        return new AdmissionState(
                mode,
                slots,
                limit,
                running,
                contexts,
                queue,
                served,
                serviceTime,
                nextCapacity,
                WindowCounts.NONE,
                nextKeeps,
                endsAt,
                refuseFrom,
                target,
                pressureController,
                downstreamPressure);
    }

    AdmissionState withRefuseFrom(Instant at) {
        return new AdmissionState(
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
                thresholds,
                windowEndsAt,
                at,
                target,
                pressureController,
                downstreamPressure);
    }

    AdmissionState withTarget(AdmissionTarget next) {
        return new AdmissionState(
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
                thresholds,
                windowEndsAt,
                refuseFrom,
                next,
                pressureController,
                downstreamPressure);
    }

    /** Starts afresh with another process life of the target; what the one before works on goes on. */
    AdmissionState withReplacedTarget(TargetRef next, int nextSlots) {
        return new AdmissionState(
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
                thresholds,
                windowEndsAt,
                refuseFrom,
                AdmissionTarget.of(next),
                PressureController.INITIAL,
                downstreamPressure);
    }

    /** A target that reports its slots is believed; it is kept from being quite full, where some slow down. */
    private static double reportedLimit(int slots) {
        return Math.max(1, Math.floor(slots * USED_SLOTS_FRACTION));
    }

    private static double coldLimit(int slots) {
        return Math.min(slots, Math.max(MIN_START_LIMIT, slots * COLD_START_FRACTION));
    }

    AdmissionState withPressureController(PressureController next) {
        return new AdmissionState(
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
                thresholds,
                windowEndsAt,
                refuseFrom,
                target,
                next,
                downstreamPressure);
    }

    AdmissionState withDownstreamPressure(PMap<String, Integer> next) {
        return new AdmissionState(
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
                thresholds,
                windowEndsAt,
                refuseFrom,
                target,
                pressureController,
                next);
    }
}
