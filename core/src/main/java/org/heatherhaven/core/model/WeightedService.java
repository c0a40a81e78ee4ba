package org.heatherhaven.core.model;

/**
 * A service's part of the requests of a route.
 *
 * @param service name of the service
 * @param weight its part, relative to the weights of the others
 */
public record WeightedService(String service, double weight) {}
