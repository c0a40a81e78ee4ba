package org.heatherhaven.core.model;

/**
 * A service of a route and the weight of its part of the requests.
 *
 * @param service name of the service
 * @param weight weight, relative to those of the route's other services
 */
public record WeightedService(String service, double weight) {}
