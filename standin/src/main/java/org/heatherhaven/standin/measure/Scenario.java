package org.heatherhaven.standin.measure;

import java.time.Duration;
import java.util.List;
import java.util.Locale;

import org.heatherhaven.standin.fleet.Deployment;
import org.heatherhaven.standin.fleet.EmbeddedFleet;
import org.heatherhaven.standin.platform.PlatformFaults;

/** What is done to a fleet while it is measured. */
public enum Scenario {
    /** Ordinary load throughout; the largest team's calls all enter at one node. */
    STEADY(0.6, 0.6, 1.3),
    /** Three times the capacity for a while. */
    SURGE(0.6, 3.0, 4.0),
    /** The deep service at a tenth of its pace for a while. */
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
    /** One team at five times its rate, the others a little below theirs. */
    NOISY_TEAM(0.6, 0.9, 1.0) {
        @Override
        double disturbedRate(Deployment deployment, int team) {
            double granted = deployment.capacity() * rateFactor() * Deployment.TEAM_FRACTIONS.get(team);
            return team == NOISY_TEAM_INDEX ? NOISY_TEAM_FACTOR * granted : super.disturbedRate(deployment, team);
        }
    },
    /** The deep service at a third of its pace, and one team at five times its rate, at the same time. */
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
    /** The deep service all but stands still for a moment, and callers retry hard. */
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
    /** One target of the deep service is lost with its node, and comes back later. */
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
    /** An availability zone is lost, and comes back later. */
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
    /** Every node of a zone is stopped gracefully and started again, one after another. */
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
    /** The platform is down for a while. */
    PLATFORM_OUTAGE(0.6, 0.6, 1.3) {
        @Override
        void startDisturbance(EmbeddedFleet fleet, Deployment deployment) {
            fleet.platformFaults(new PlatformFaults(true, Duration.ZERO, 0));
        }

        @Override
        void endDisturbance(EmbeddedFleet fleet, Deployment deployment) {
            fleet.platformFaults(PlatformFaults.NONE);
        }
    },
    /** One target of the deep service says that it is well, and refuses whatever it gets. */
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

    private static final double SLOWNESS = 10;
    private static final double DEMO_SLOWNESS = 3;
    private static final double NEAR_STANDSTILL = 40;
    private static final int NOISY_TEAM_INDEX = 1;
    private static final double NOISY_TEAM_FACTOR = 5;
    private static final double CAPACITY_AFTER_LOSS = 2.0 / 3;

    private final double ordinaryLoad;
    private final double disturbedLoad;
    private final double rateFactor;

    Scenario(double ordinaryLoad, double disturbedLoad, double rateFactor) {
        this.ordinaryLoad = ordinaryLoad;
        this.disturbedLoad = disturbedLoad;
        this.rateFactor = rateFactor;
    }

    /** Brings the disturbance about. */
    void startDisturbance(EmbeddedFleet fleet, Deployment deployment) {
        // Some scenarios change nothing but the load.
    }

    /** Ends the disturbance. */
    void endDisturbance(EmbeddedFleet fleet, Deployment deployment) {
        // Some scenarios change nothing but the load.
    }

    double ordinaryRate(Deployment deployment, int team) {
        return deployment.capacity() * ordinaryLoad * Deployment.TEAM_FRACTIONS.get(team);
    }

    double disturbedRate(Deployment deployment, int team) {
        return deployment.capacity() * disturbedLoad * Deployment.TEAM_FRACTIONS.get(team);
    }

    /** Sum of all teams' rates, in parts of the capacity. */
    double rateFactor() {
        return rateFactor;
    }

    /** Part of the bottleneck's capacity that is left while disturbed. */
    double remainingCapacity() {
        return 1;
    }

    /** True if the fleet shall be well again while the cause lasts, by going around it. */
    boolean recoversWhileDisturbed() {
        return false;
    }

    /**
     * Name on the command line.
     *
     * @return lower-case label
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
