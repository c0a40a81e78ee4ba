package org.heatherhaven.core.logic.routing;

/** Routing strategies; measurements compare them with each other. */
public enum RoutingMode {
    /** The cheaper of two random targets, with near targets preferred and failing ones avoided. */
    TWO_CHOICES,
    /** Any target, chosen at random. */
    RANDOM
}
