package org.heatherhaven.standin.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.heatherhaven.core.model.Importance;

/** The users' deployments, in their present shape and size. */
public enum Deployment {
    QALEEN(
            "pk-south",
            3,
            Duration.ofMillis(3),
            "pricing",
            List.of(
                    new ServiceSpec("inventory", 3, 50, 400, Duration.ofMillis(10), Map.of()),
                    new ServiceSpec(
                            "bookings",
                            3,
                            50,
                            400,
                            Duration.ofMillis(10),
                            Map.of("/bookings", List.of("/inventory/check", "/pricing/quote"))),
                    new ServiceSpec(
                            "dispatch",
                            3,
                            50,
                            400,
                            Duration.ofMillis(10),
                            Map.of("/dispatch", List.of("/pricing/quote"))),
                    new ServiceSpec("pricing", 3, 15, 200, Duration.ofMillis(40), Map.of())),
            List.of(
                    new Flow("reserve", "/bookings/reserve", "bookings", Importance.CRITICAL, true, 0.25, true),
                    new Flow("quote", "/pricing/quote", "pricing", Importance.HIGH, false, 0.35, true),
                    new Flow("stock", "/inventory/check", "inventory", Importance.NORMAL, false, 0.10, false),
                    new Flow("plan", "/dispatch/plan", "dispatch", Importance.LOW, false, 0.30, true))),
    TIBAS(
            "valle-central",
            4,
            Duration.ofMillis(8),
            "hornos",
            List.of(
                    new ServiceSpec(
                            "catalogo",
                            4,
                            200,
                            1_500,
                            Duration.ofMillis(20),
                            Map.of("/catalogo", List.of("/hornos/availability"))),
                    new ServiceSpec(
                            "pedidos",
                            4,
                            200,
                            1_500,
                            Duration.ofMillis(20),
                            Map.of("/pedidos", List.of("/hornos/reserve"))),
                    new ServiceSpec("guias", 4, 200, 1_500, Duration.ofMillis(20), Map.of()),
                    new ServiceSpec("hornos", 4, 25, 250, Duration.ofMillis(90), Map.of())),
            List.of(
                    new Flow("deposit", "/pedidos/deposit", "pedidos", Importance.CRITICAL, true, 0.20, true),
                    new Flow("slot-check", "/hornos/slots", "hornos", Importance.HIGH, false, 0.35, true),
                    new Flow("guide", "/guias/starter", "guias", Importance.NORMAL, false, 0.10, false),
                    new Flow("browse", "/catalogo/list", "catalogo", Importance.LOW, false, 0.35, true)));

    /** Fraction of the total demand of each of eight teams, 0 to 1; a few teams are large. */
    public static final List<Double> TEAM_FRACTIONS = List.of(0.30, 0.20, 0.15, 0.10, 0.10, 0.05, 0.05, 0.05);

    private final String region;
    private final int zones;
    private final Duration callerDelay;
    private final String bottleneck;
    private final List<ServiceSpec> services;
    private final List<Flow> flows;

    Deployment(
            String region,
            int zones,
            Duration callerDelay,
            String bottleneck,
            List<ServiceSpec> services,
            List<Flow> flows) {
        this.region = region;
        this.zones = zones;
        this.callerDelay = callerDelay;
        this.bottleneck = bottleneck;
        this.services = services;
        this.flows = flows;
    }

    /**
     * Returns the region that holds all zones.
     *
     * @return name of the region
     */
    public String region() {
        return region;
    }

    /**
     * Returns the number of availability zones.
     *
     * @return number of zones
     */
    public int zones() {
        return zones;
    }

    /**
     * Returns the simulated network delay from callers to nodes.
     *
     * @return delay one way
     */
    public Duration callerDelay() {
        return callerDelay;
    }

    /**
     * Returns the services.
     *
     * @return all services of the deployment
     */
    public List<ServiceSpec> services() {
        return services;
    }

    /**
     * Returns the kinds of root requests.
     *
     * @return all flows, whose fractions sum to 1
     */
    public List<Flow> flows() {
        return flows;
    }

    /**
     * Returns the service whose capacity limits the deployment.
     *
     * @return bottleneck service
     */
    public ServiceSpec bottleneck() {
        return services.stream()
                .filter(service -> service.name().equals(bottleneck))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Returns the rate of root requests at which the bottleneck is fully used.
     *
     * @return root requests per second
     */
    public double capacity() {
        double bottleneckFraction = flows.stream()
                .filter(Flow::usesBottleneck)
                .mapToDouble(Flow::fraction)
                .sum();
        return bottleneck().capacity() / bottleneckFraction;
    }
}
