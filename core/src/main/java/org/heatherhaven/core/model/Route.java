package org.heatherhaven.core.model;

import java.time.Duration;
import java.util.List;

/**
 * Policy for the requests of one host under one path prefix.
 *
 * @param name unique name
 * @param host host that requests must name, lower case; empty for any
 * @param path path prefix; the longest matching prefix wins. With a slash at its end it stands for the paths that begin
 *     with it, without one also for itself
 * @param services services that run the requests, each with its part of them
 * @param importance order of shedding under overload
 * @param unrepeatable true for non-idempotent requests, which run at most once
 * @param open true if no key is needed
 * @param limits bounds of each request
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

    /** Host of routes that serve requests for any host. */
    public static final String ANY_HOST = "";

    /**
     * Bounds of one request.
     *
     * @param timeout longest and default time that a request may take
     * @param aim time within which an answer is worth the most to its caller
     * @param retries retry budget of one root request with all calls made for it
     */
    public record Limits(Duration timeout, Duration aim, int retries) {

        /**
         * Bounds of a request whose answer is worth as much late as early.
         *
         * @param timeout longest and default time that a request may take
         * @param retries retry budget of one root request
         */
        public Limits(Duration timeout, int retries) {
            this(timeout, timeout, retries);
        }
    }

    /**
     * A route for any host that leads to one service.
     *
     * @param name unique name
     * @param path path prefix
     * @param service service that runs the requests
     * @param importance order of shedding under overload
     * @param unrepeatable true for non-idempotent requests
     * @param open true if no key is needed
     * @param limits bounds of each request
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
     * Longest and default time that a request may take.
     *
     * @return the timeout
     */
    public Duration timeout() {
        return limits.timeout();
    }

    /**
     * Retry budget of one root request with all calls made for it.
     *
     * @return number of retries
     */
    public int retries() {
        return limits.retries();
    }

    /**
     * Chooses the service of one request by the weights.
     *
     * @param point where the request lies between 0 and 1
     * @return name of the service
     */
    public String serviceAt(double point) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double left = point * total;
        for (WeightedService service : services) {
            left -= service.weight();
            if (left < 0) {
                return service.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
