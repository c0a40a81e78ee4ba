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
 * State of admission at this node's target: its calls, its limits and the measurements of it.
 *
 * @param mode admission strategy
 * @param slots number of calls that the target processes concurrently, as reported or configured
 * @param limit concurrency limit: number of calls that may run at the target at present
 * @param running calls that run at the target, by offer
 * @param contexts offers of the running calls, by context id
 * @param queue calls that wait for the target, in order of arrival
 * @param served exponentially decayed number of calls started at the target, by team
 * @param serviceTime smoothed time that the target takes for a call
 * @param capacity smoothed number of calls that the target answers per window while saturated
 * @param windowCounts counts of the current window
 * @param thresholds admission thresholds by traffic class
 * @param windowEndsAt end of the current measuring window
 * @param refuseFrom time from which new calls are refused because the node is shutting down; {@link Instant#MAX} if it
 *     is not
 * @param target process instance that runs the calls
 * @param pressureController derives the target's own pressure from the arrivals
 * @param downstreamPressure pressure in thousandths behind the calls that the target makes, by route of the calling run
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
        WindowCounts windowCounts,
        AdmissionThresholds thresholds,
        Instant windowEndsAt,
        Instant refuseFrom,
        AdmissionTarget target,
        PressureController pressureController,
        PMap<String, Integer> downstreamPressure) {

    /** Initial concurrency limit of a target that reports no slots, as a fraction of the configured slots. */
    private static final double COLD_START_FRACTION = 0.25;

    /** Lowest initial concurrency limit, in calls, unless the target has fewer slots. */
    private static final double MIN_START_LIMIT = 2;

    /** Concurrency limit of a target that reports its slots, as a fraction of them. */
    private static final double USED_SLOTS_FRACTION = 0.94;

    /**
     * Returns the initial state of a node, before its target is known.
     *
     * @param mode admission strategy
     * @param slots number of calls that the target processes concurrently, as reported or configured
     * @param now start time of the node
     * @return the state without calls
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
     * Returns the number of running and queued calls.
     *
     * @return number of calls
     */
    public int inFlight() {
        return running.size() + queue.size();
    }

    /**
     * Returns the load that is reported upstream.
     *
     * @return running and queued calls in thousandths of the concurrency limit
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
                windowCounts,
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
                windowCounts,
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
                windowCounts,
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
                windowCounts,
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
                windowCounts,
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
                windowCounts,
                thresholds,
                windowEndsAt,
                refuseFrom,
                target,
                pressureController,
                downstreamPressure);
    }

    AdmissionState withWindowCounts(WindowCounts next) {
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

    AdmissionState withWindow(double nextCapacity, AdmissionThresholds nextThresholds, Instant endsAt) {
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
                nextThresholds,
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
                windowCounts,
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
                windowCounts,
                thresholds,
                windowEndsAt,
                refuseFrom,
                next,
                pressureController,
                downstreamPressure);
    }

    /** Resets limit and pressure for another process instance of the target; running calls of the old one continue. */
    AdmissionState withReplacedTarget(TargetRef next, String service, int nextSlots) {
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
                windowCounts,
                thresholds,
                windowEndsAt,
                refuseFrom,
                AdmissionTarget.of(next, service),
                PressureController.INITIAL,
                downstreamPressure);
    }

    /** Returns a limit just below the reported slots, because some targets slow down when all slots are in use. */
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
                windowCounts,
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
                windowCounts,
                thresholds,
                windowEndsAt,
                refuseFrom,
                target,
                pressureController,
                next);
    }
}
