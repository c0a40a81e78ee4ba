package org.heatherhaven.core.model;

import java.time.Duration;
import java.util.List;

/**
 * Policy for requests to one host under one path prefix.
 *
 * @param name unique name
 * @param host host that requests must name, lower case; empty for any
 * @param path path prefix; the longest matching prefix applies. The prefix {@code /a} matches that path and all paths
 *     below it, {@code /a/} only the paths that start with it
 * @param services services that run the requests, with the weights by which requests are split
 * @param importance importance of the requests for load shedding
 * @param unrepeatable true for requests that are not idempotent and must run at most once
 * @param open true if no key is needed
 * @param limits limits of each request
 */
public record Route(
        String name,
        String host,
        String path,
        List<WeightedService> services,
        Importance importance,
        boolean unrepeatable,
        boolean open,
        Limits limits) {

    /** Value of {@link #host()} that matches requests for any host. */
    public static final String ANY_HOST = "";

    /**
     * Limits of one request.
     *
     * @param timeout maximum duration of a request, which is also the default
     * @param aim latency objective, the time within which a response has its full value to the caller
     * @param retries retries allowed for one root request and all its nested calls together
     */
    public record Limits(Duration timeout, Duration aim, int retries) {

        /**
         * Creates limits whose latency objective is the timeout.
         *
         * @param timeout maximum duration of a request, which is also the default
         * @param retries retries allowed for one root request and all its nested calls together
         */
        public Limits(Duration timeout, int retries) {
            this(timeout, timeout, retries);
        }
    }

    /**
     * Creates a route for any host to a single service.
     *
     * @param name unique name
     * @param path path prefix
     * @param service service that runs the requests
     * @param importance importance of the requests for load shedding
     * @param unrepeatable true for requests that are not idempotent
     * @param open true if no key is needed
     * @param limits limits of each request
     */
    public Route(
            String name,
            String path,
            String service,
            Importance importance,
            boolean unrepeatable,
            boolean open,
            Limits limits) {
        this(name, ANY_HOST, path, List.of(new WeightedService(service, 1)), importance, unrepeatable, open, limits);
    }

    /**
     * Returns the maximum duration of a request, which is also the default.
     *
     * @return the timeout
     */
    public Duration timeout() {
        return limits.timeout();
    }

    /**
     * Returns the retries allowed for one root request and all its nested calls together.
     *
     * @return number of retries
     */
    public int retries() {
        return limits.retries();
    }

    /**
     * Chooses the service of one request in proportion to the weights.
     *
     * @param point position of the request in [0, 1), which selects the service
     * @return name of the service
     */
    public String serviceAt(double point) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double remaining = point * total;
        for (WeightedService service : services) {
            remaining -= service.weight();
            if (remaining < 0) {
                return service.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
