package org.heatherhaven.core.logic.routing;

/** Ways of choosing a target that can be compared with each other. */
public enum RoutingMode {
    /** The cheaper of two random choices, near targets first, failing ones set aside. */
    TWO_CHOICES,
    /** Any target at random. */
    RANDOM
}
