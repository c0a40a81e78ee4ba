package org.heatherhaven.standin.measure;

import java.util.Locale;

import org.heatherhaven.core.logic.admission.AdmissionMode;
import org.heatherhaven.core.logic.node.NodeRules;
import org.heatherhaven.core.logic.retry.RetryMode;
import org.heatherhaven.core.logic.routing.RoutingMode;

/** Ways of deciding that are measured side by side. */
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
     * Rules of nodes that decide in this way.
     *
     * @param seed start of the random choices
     * @return the rules
     */
    public NodeRules rules(long seed) {
        return NodeRules.defaults(seed).withModes(admission, routing, retry);
    }

    /**
     * Name in reports.
     *
     * @return lower-case label
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
