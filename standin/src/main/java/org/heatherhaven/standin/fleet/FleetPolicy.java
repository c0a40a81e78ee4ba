package org.heatherhaven.standin.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.codec.digest.DigestUtils;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.KeyGrant;
import org.heatherhaven.core.model.PolicyPatch;
import org.heatherhaven.core.model.Route;
import org.heatherhaven.core.model.Team;

/** Builds the policy of a deployment: its routes, eight teams, and one API key for each team. */
public final class FleetPolicy {

    private static final Duration TIMEOUT = Duration.ofMillis(1_500);
    private static final int RETRIES = 3;
    private static final double BURST_SECONDS = 0.5;

    private FleetPolicy() {}

    /**
     * Returns the name of a team.
     *
     * @param index index of the team, from 0
     * @return name of the team
     */
    public static String teamName(int index) {
        return "team-" + index;
    }

    /**
     * Returns the API key of a team.
     *
     * @param index index of the team, from 0
     * @return API key, not hashed
     */
    public static String teamKey(int index) {
        return "key-of-team-" + index;
    }

    /**
     * Returns the rate granted to a team.
     *
     * @param deployment deployment with the capacity
     * @param index index of the team, from 0
     * @param rateFactor sum of all teams' rates, as a multiple of the deployment's capacity
     * @return root requests per second
     */
    public static double teamRate(Deployment deployment, int index, double rateFactor) {
        return deployment.capacity() * rateFactor * Deployment.TEAM_FRACTIONS.get(index);
    }

    /**
     * Returns the patch that creates the first version of the policy.
     *
     * @param deployment deployment whose flows and nested calls become routes
     * @param rateFactor sum of all teams' rates, as a multiple of the deployment's capacity
     * @return patch on the empty policy
     */
    public static PolicyPatch initialPatch(Deployment deployment, double rateFactor) {
        List<Team> teams = new ArrayList<>();
        List<KeyGrant> keys = new ArrayList<>();
        for (int i = 0; i < Deployment.TEAM_FRACTIONS.size(); i++) {
            double rate = teamRate(deployment, i, rateFactor);
            teams.add(new Team(teamName(i), rate, Math.max(2, rate * BURST_SECONDS), 1));
            keys.add(new KeyGrant(DigestUtils.sha256Hex(teamKey(i)), teamName(i)));
        }
        List<Route> routes = new ArrayList<>();
        for (Flow flow : deployment.flows()) {
            routes.add(new Route(
                    flow.name(),
                    flow.path(),
                    flow.service(),
                    flow.importance(),
                    flow.unrepeatable(),
                    false,
                    new Route.Limits(TIMEOUT, RETRIES)));
        }
        addNestedRoutes(deployment, routes);
        return new PolicyPatch("first", 0, "measure", "", teams, routes, keys, List.of(), List.of(), List.of());
    }

    /** Adds a route for each path of a nested call that no flow has. */
    private static void addNestedRoutes(Deployment deployment, List<Route> routes) {
        for (ServiceSpec service : deployment.services()) {
            service.nestedCalls()
                    .values()
                    .forEach(paths -> paths.forEach(path -> {
                        boolean routeExists =
                                routes.stream().anyMatch(route -> route.path().equals(path));
                        if (!routeExists) {
                            String name = path.substring(1).replace('/', '-');
                            String owner = path.substring(1, path.indexOf('/', 1));
                            routes.add(new Route(
                                    name,
                                    path,
                                    owner,
                                    Importance.NORMAL,
                                    false,
                                    false,
                                    new Route.Limits(TIMEOUT, RETRIES)));
                        }
                    }));
        }
    }
}
