package org.heatherhaven.core.logic.node;

import java.util.Map;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.event.TrafficEvent.OfferArrived;
import org.heatherhaven.core.logic.retry.RetryBudget;
import org.heatherhaven.core.logic.retry.RetryBudget.Division;
import org.heatherhaven.core.logic.retry.RetryMode;
import org.heatherhaven.core.model.AttemptKind;
import org.heatherhaven.core.model.CallHead;
import org.heatherhaven.core.model.Reason;
import org.heatherhaven.core.model.Refusal;
import org.heatherhaven.core.model.Signal;

/** Admits retries to this node's target as far as its part of the service's retry budget allows. */
final class RetryAdmission {

    private static final double THOUSAND = 1_000;

    private RetryAdmission() {}

    /**
     * Decides whether an offered call may go on to admission, and updates the retry budget. First calls of outside
     * callers add to the budget. A retry is charged together with the calls that the target is expected to make for it;
     * one that the budget does not cover is refused.
     *
     * @return false if the call was refused
     */
    static boolean admits(EventContext context, OfferArrived offer) {
        CallHead head = offer.head();
        boolean judgedByAdmission =
                !head.service().equals(context.admission.target().service());
        if (context.rules.retry() != RetryMode.BUDGET || judgedByAdmission) {
            // Admission refuses a call for another service, which must not change the budget of this one.
            return true;
        }
        Division division = new Division(
                context.fleet.nodesOfService(head.service()).size(),
                context.fleet.nodesByService().size());
        RetryBudget budget = context.retryBudget.refilled(context.rules.retryLimits(), division, context.now);
        if (head.attemptKind() != AttemptKind.RETRY) {
            // Calls made by targets use open routes and carry no team; they add nothing to the budget.
            boolean fromCaller = head.attemptKind().first()
                    && head.depth() == 0
                    && !head.team().isEmpty();
            context.retryBudget = fromCaller ? budget.callArrived(context.rules.retryLimits(), division) : budget;
            return true;
        }
        double downstreamCalls = downstreamCalls(context, head.route());
        if (budget.allows(downstreamCalls)) {
            context.retryBudget = budget.retryAdmitted(downstreamCalls);
            return true;
        }
        context.retryBudget = budget;
        refuse(context, offer, downstreamCalls);
        return false;
    }

    /** Returns the estimated number of calls that the target makes per run of a route, 0 if there is no estimate. */
    private static double downstreamCalls(EventContext context, String route) {
        Map<String, Double> calls = context.callGraph.ratios().get(route);
        return calls == null
                ? 0
                : calls.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    private static void refuse(EventContext context, OfferArrived offer, double downstreamCalls) {
        CallHead head = offer.head();
        String detail = "the service's retry budget does not cover a repeat that makes "
                + Math.round(downstreamCalls * THOUSAND) / THOUSAND + " calls";
        Signal signal = new Signal(Signal.BUCKETS, context.admission.load(), 0, head.retries());
        context.out.add(new Effect.RefuseOffer(offer.key(), Refusal.notRun(Reason.REPEAT_LIMIT, detail), signal));
    }
}
