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

/** The policy of a deployment: its routes, eight teams, and a key for each. */
public final class FleetPolicy {

    private static final Duration TIMEOUT = Duration.ofMillis(1_500);
    private static final int RETRIES = 3;
    private static final double BURST_SECONDS = 0.5;

    private FleetPolicy() {}

    /**
     * Name of a team.
     *
     * @param index its number
     * @return its name
     */
    public static String teamName(int index) {
        return "team-" + index;
    }

    /**
     * Key of a team.
     *
     * @param index number of the team
     * @return the key
     */
    public static String teamKey(int index) {
        return "key-of-team-" + index;
    }

    /**
     * Granted rate of a team.
     *
     * @param deployment the deployment
     * @param index number of the team
     * @param rateFactor sum of all teams' rates, in parts of the capacity
     * @return root requests a second
     */
    public static double teamRate(Deployment deployment, int index, double rateFactor) {
        return deployment.capacity() * rateFactor * Deployment.TEAM_FRACTIONS.get(index);
    }

    /**
     * The first version of the policy.
     *
     * @param deployment the deployment
     * @param rateFactor sum of all teams' rates, in parts of the capacity
     * @return the patch that creates it
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

    private static void addNestedRoutes(Deployment deployment, List<Route> routes) {
        for (ServiceSpec service : deployment.services()) {
            service.nestedCalls()
                    .values()
                    .forEach(paths -> paths.forEach(path -> {
                        boolean known =
                                routes.stream().anyMatch(route -> route.path().equals(path));
                        if (!known) {
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
