package org.heatherhaven.core.logic.node;

import java.util.Map;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.TrafficEvent.OfferArrived;
import org.heatherhaven.core.logic.retry.RepeatAllowance;
import org.heatherhaven.core.logic.retry.RepeatAllowance.Division;
import org.heatherhaven.core.logic.retry.RetryMode;
import org.heatherhaven.core.model.AttemptKind;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;

/** Lets repeated calls in to the node's target as far as the service's retry budget goes. */
final class Repeats {

    private static final double THOUSAND = 1_000;

    private Repeats() {}

    /** Refuses a repeat that the budget does not cover; notes everything else. */
    static boolean admits(Step step, OfferArrived offer) {
        if (step.rules.retry() != RetryMode.BUDGET) {
            return true;
        }
        CallHead head = offer.head();
        Division division = new Division(
                step.fleet.ofService(head.service()).size(),
                step.fleet.services().size());
        RepeatAllowance allowance = step.repeats.passed(step.rules.retryLimits(), division, step.now);
        if (head.attemptKind() != AttemptKind.RETRY) {
            // Calls of targets come on open routes, without a team.
            boolean callers = head.attemptKind().first()
                    && head.depth() == 0
                    && !head.team().isEmpty();
            step.repeats = callers ? allowance.called(step.rules.retryLimits(), division) : allowance;
            return true;
        }
        double tree = tree(step, head.route());
        if (allowance.allows(tree)) {
            step.repeats = allowance.repeated(tree);
            return true;
        }
        step.repeats = allowance;
        refuse(step, offer, tree);
        return false;
    }

    /** Calls that the target makes for a run of a route, as far as it is learned. */
    private static double tree(Step step, String route) {
        Map<String, Double> calls = step.callGraph.ratios().get(route);
        return calls == null
                ? 0
                : calls.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    private static void refuse(Step step, OfferArrived offer, double tree) {
        CallHead head = offer.head();
        String detail = "the service's retry budget does not cover a repeat that makes "
                + Math.round(tree * THOUSAND) / THOUSAND + " calls";
        Signal signal = new Signal(Signal.BUCKETS, step.guard.load(), 0, head.retries());
        step.out.add(new Effect.RefuseOffer(offer.key(), Refusal.notRun(Reason.REPEAT_LIMIT, detail), signal));
    }
}
