package org.heatherhaven.standin.measure;

import java.util.Locale;

import org.heatherhaven.core.logic.admission.AdmissionMode;
import org.heatherhaven.core.logic.node.NodeRules;
import org.heatherhaven.core.logic.retry.RetryMode;
import org.heatherhaven.core.logic.routing.RoutingMode;

/** Combinations of admission, routing and retry modes that are measured side by side. */
public enum Strategy {
    HEATHERHAVEN(AdmissionMode.FAIR_SHED, RoutingMode.TWO_CHOICES, RetryMode.BUDGET),
    FIFO_QUEUE(AdmissionMode.FIFO_QUEUE, RoutingMode.TWO_CHOICES, RetryMode.BUDGET),
    PASS_THROUGH(AdmissionMode.PASS_THROUGH, RoutingMode.RANDOM, RetryMode.EVERY_HOP);

    private final AdmissionMode admission;
    private final RoutingMode routing;
    private final RetryMode retry;

    Strategy(AdmissionMode admission, RoutingMode routing, RetryMode retry) {
        this.admission = admission;
        this.routing = routing;
        this.retry = retry;
    }

    /**
     * Returns the decision rules of nodes with this strategy.
     *
     * @param seed seed of the random choices
     * @return rules for every node of the fleet
     */
    public NodeRules rules(long seed) {
        return NodeRules.defaults(seed).withModes(admission, routing, retry);
    }

    /**
     * Returns the name in reports and on the command line.
     *
     * @return lower-case label with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
