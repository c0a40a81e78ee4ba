package org.heatherhaven.standin.measure;

import java.time.Duration;
import java.util.List;
import java.util.Locale;

import org.heatherhaven.standin.fleet.Deployment;
import org.heatherhaven.standin.fleet.EmbeddedFleet;
import org.heatherhaven.standin.platform.PlatformFaults;

/**
 * Load and disturbance of a measured run.
 *
 * <p>The constructor arguments are the ordinary load, the load during the disturbance, and the sum of all teams'
 * granted rates, each as a multiple of the deployment's capacity.
 */
public enum Scenario {
    /** Ordinary load in all phases; all calls of the largest team enter at one node. */
    STEADY(0.6, 0.6, 1.3),
    /** Load of three times the capacity during the disturbance. */
    SURGE(0.6, 3.0, 4.0),
    /** The bottleneck service works at a tenth of its speed. */
    SLOW_SERVICE(0.6, 0.6, 1.3) {
        @Override
        void startDisturbance(EmbeddedFleet fleet, Deployment deployment) {
            fleet.setSlowness(deployment.bottleneck().name(), SLOWNESS);
        }

        @Override
        void endDisturbance(EmbeddedFleet fleet, Deployment deployment) {
            fleet.setSlowness(deployment.bottleneck().name(), 1);
        }

        @Override
        double remainingCapacity() {
            return 1 / SLOWNESS;
        }
    },
    /** One team offers five times its rate, the others slightly less than theirs. */
    NOISY_TEAM(0.6, 0.9, 1.0) {
        @Override
        double disturbedRate(Deployment deployment, int team) {
            double granted = deployment.capacity() * rateFactor() * Deployment.TEAM_FRACTIONS.get(team);
            return team == NOISY_TEAM_INDEX ? NOISY_TEAM_FACTOR * granted : super.disturbedRate(deployment, team);
        }
    },
    /** The bottleneck service works at a third of its speed while one team offers five times its rate. */
    DEMO(0.6, 0.9, 1.0) {
        @Override
        double disturbedRate(Deployment deployment, int team) {
            return NOISY_TEAM.disturbedRate(deployment, team);
        }

        @Override
        void startDisturbance(EmbeddedFleet fleet, Deployment deployment) {
            fleet.setSlowness(deployment.bottleneck().name(), DEMO_SLOWNESS);
        }

        @Override
        void endDisturbance(EmbeddedFleet fleet, Deployment deployment) {
            fleet.setSlowness(deployment.bottleneck().name(), 1);
        }

        @Override
        double remainingCapacity() {
            return 1 / DEMO_SLOWNESS;
        }
    },
    /** The bottleneck service nearly stops, and the eager retries of callers add load. */
    RETRY_STORM(0.8, 0.8, 1.5) {
        @Override
        void startDisturbance(EmbeddedFleet fleet, Deployment deployment) {
            fleet.setSlowness(deployment.bottleneck().name(), NEAR_STANDSTILL);
        }

        @Override
        void endDisturbance(EmbeddedFleet fleet, Deployment deployment) {
            fleet.setSlowness(deployment.bottleneck().name(), 1);
        }

        @Override
        double remainingCapacity() {
            return 1 / NEAR_STANDSTILL;
        }
    },
    /** One target of the bottleneck service is killed together with its node, and restarted later. */
    TARGET_LOSS(0.5, 0.5, 1.3) {
        @Override
        void startDisturbance(EmbeddedFleet fleet, Deployment deployment) {
            fleet.kill(fleet.firstNodeOf(deployment.bottleneck().name()));
        }

        @Override
        void endDisturbance(EmbeddedFleet fleet, Deployment deployment) {
            fleet.restart(fleet.firstNodeOf(deployment.bottleneck().name()));
        }

        @Override
        double remainingCapacity() {
            return CAPACITY_AFTER_LOSS;
        }

        @Override
        boolean recoversWhileDisturbed() {
            return true;
        }
    },
    /** All targets and nodes of one availability zone are killed, and restarted later. */
    ZONE_LOSS(0.4, 0.4, 1.3) {
        @Override
        void startDisturbance(EmbeddedFleet fleet, Deployment deployment) {
            fleet.nodesInZone(0).forEach(fleet::kill);
        }

        @Override
        void endDisturbance(EmbeddedFleet fleet, Deployment deployment) {
            fleet.nodesInZone(0).forEach(fleet::restart);
        }

        @Override
        double remainingCapacity() {
            return CAPACITY_AFTER_LOSS;
        }

        @Override
        boolean recoversWhileDisturbed() {
            return true;
        }
    },
    /** Every node of one zone is drained and restarted, one after another. */
    ROLLING_RESTART(0.4, 0.4, 1.3) {
        @Override
        void startDisturbance(EmbeddedFleet fleet, Deployment deployment) {
            Thread restarter = new Thread(
                    () -> {
                        List<Integer> nodes = fleet.nodesInZone(0);
                        for (int node : nodes) {
                            fleet.drain(node);
                            fleet.restart(node);
                        }
                    },
                    "restarter");
            restarter.setDaemon(true);
            restarter.start();
        }
    },
    /** The platform is unavailable. */
    PLATFORM_OUTAGE(0.6, 0.6, 1.3) {
        @Override
        void startDisturbance(EmbeddedFleet fleet, Deployment deployment) {
            fleet.setPlatformFaults(new PlatformFaults(true, Duration.ZERO, 0));
        }

        @Override
        void endDisturbance(EmbeddedFleet fleet, Deployment deployment) {
            fleet.setPlatformFaults(PlatformFaults.NONE);
        }
    },
    /** One target of the bottleneck service reports that it is healthy but refuses every request. */
    MISLEADING_HEALTH(0.5, 0.5, 1.3) {
        @Override
        void startDisturbance(EmbeddedFleet fleet, Deployment deployment) {
            fleet.setRefusing(fleet.firstNodeOf(deployment.bottleneck().name()), true);
        }

        @Override
        void endDisturbance(EmbeddedFleet fleet, Deployment deployment) {
            fleet.setRefusing(fleet.firstNodeOf(deployment.bottleneck().name()), false);
        }

        @Override
        boolean recoversWhileDisturbed() {
            return true;
        }
    };

    /** Factor on the work time of the bottleneck service in {@link #SLOW_SERVICE}. */
    private static final double SLOWNESS = 10;

    /** Factor on the work time of the bottleneck service in {@link #DEMO}. */
    private static final double DEMO_SLOWNESS = 3;
    /** Factor on the work time of the bottleneck service in {@link #RETRY_STORM}. */
    private static final double NEAR_STANDSTILL = 40;

    private static final int NOISY_TEAM_INDEX = 1;
    private static final double NOISY_TEAM_FACTOR = 5;
    /** Fraction of the capacity that remains after the loss of one of three targets or zones, as in Qaleen. */
    private static final double CAPACITY_AFTER_LOSS = 2.0 / 3;

    private final double ordinaryLoad;
    private final double disturbedLoad;
    private final double rateFactor;

    Scenario(double ordinaryLoad, double disturbedLoad, double rateFactor) {
        this.ordinaryLoad = ordinaryLoad;
        this.disturbedLoad = disturbedLoad;
        this.rateFactor = rateFactor;
    }

    /** Starts the disturbance; does nothing in scenarios that change only the load. */
    void startDisturbance(EmbeddedFleet fleet, Deployment deployment) {
        // Only the load changes.
    }

    /** Ends the disturbance; does nothing in scenarios that change only the load. */
    void endDisturbance(EmbeddedFleet fleet, Deployment deployment) {
        // Only the load changes.
    }

    /** Returns the root requests per second of a team under ordinary load. */
    double ordinaryRate(Deployment deployment, int team) {
        return deployment.capacity() * ordinaryLoad * Deployment.TEAM_FRACTIONS.get(team);
    }

    /** Returns the root requests per second of a team during the disturbance. */
    double disturbedRate(Deployment deployment, int team) {
        return deployment.capacity() * disturbedLoad * Deployment.TEAM_FRACTIONS.get(team);
    }

    /** Returns the sum of all teams' granted rates, as a multiple of the deployment's capacity. */
    double rateFactor() {
        return rateFactor;
    }

    /** Returns the fraction of the bottleneck's capacity that remains during the disturbance. */
    double remainingCapacity() {
        return 1;
    }

    /** Returns true if the fleet should recover during the disturbance, by routing around its cause. */
    boolean recoversWhileDisturbed() {
        return false;
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
