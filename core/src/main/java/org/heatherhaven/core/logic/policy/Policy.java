package org.heatherhaven.core.logic.policy;

import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.model.KeyGrant;
import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.PolicyVersion;
import org.heatherhaven.core.model.Route;
import org.heatherhaven.core.model.Team;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The rules in force, as one immutable value.
 *
 * @param version number of the version
 * @param teams teams by name
 * @param routes routes by name
 * @param paths names of routes by path prefix
 * @param keys teams by key hash
 */
public record Policy(
        long version,
        PMap<String, Team> teams,
        PMap<String, Route> routes,
        PMap<String, String> paths,
        PMap<String, String> keys) {

    /** The policy before the first version: it refuses everything. */
    public static final Policy EMPTY =
            new Policy(0, HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty());

    /**
     * Finds the route of a request.
     *
     * @param pathWithQuery path of the request
     * @return the route with the longest matching prefix of whole segments
     */
    public Optional<Route> routeOf(String pathWithQuery) {
        int query = pathWithQuery.indexOf('?');
        String path = query < 0 ? pathWithQuery : pathWithQuery.substring(0, query);
        while (!path.isEmpty()) {
            String name = paths.get(path);
            if (name != null) {
                return Optional.of(routes.get(name));
            }
            path = path.substring(0, Math.max(0, path.lastIndexOf('/')));
        }
        return Optional.empty();
    }

    /**
     * Finds the team of a key.
     *
     * @param keyHash SHA-256 of the key
     * @return the team, if the key is in force
     */
    public Optional<Team> teamOf(String keyHash) {
        return Optional.ofNullable(keys.get(keyHash)).map(teams::get);
    }

    /**
     * Applies an accepted version.
     *
     * @param next the version; its number must follow this one
     * @return the policy of that version
     * @throws PolicyException if the patch does not fit this policy
     */
    public Policy apply(PolicyVersion next) {
        PatchRules.check(this, next.patch());
        PMap<String, Team> newTeams = teams.minusAll(next.patch().removedTeams());
        for (Team team : next.patch().teams()) {
            newTeams = newTeams.plus(team.name(), team);
        }
        PMap<String, Route> newRoutes = routes.minusAll(next.patch().removedRoutes());
        for (Route route : next.patch().routes()) {
            newRoutes = newRoutes.plus(route.name(), route);
        }
        PMap<String, String> newKeys = keys.minusAll(next.patch().withdrawnKeys());
        for (KeyGrant key : next.patch().keys()) {
            newKeys = newKeys.plus(key.hash(), key.team());
        }
        return new Policy(next.version(), newTeams, newRoutes, pathsOf(newRoutes), newKeys);
    }

    /**
     * Puts this policy into transportable form.
     *
     * @return the snapshot
     */
    public PolicySnapshot toSnapshot() {
        List<KeyGrant> grants = keys.entrySet().stream()
                .map(key -> new KeyGrant(key.getKey(), key.getValue()))
                .toList();
        return new PolicySnapshot(version, List.copyOf(teams.values()), List.copyOf(routes.values()), grants);
    }

    /**
     * Restores a policy from transportable form.
     *
     * @param snapshot the snapshot
     * @return the policy
     */
    public static Policy of(PolicySnapshot snapshot) {
        PMap<String, Team> teams = HashTreePMap.empty();
        for (Team team : snapshot.teams()) {
            teams = teams.plus(team.name(), team);
        }
        PMap<String, Route> routes = HashTreePMap.empty();
        for (Route route : snapshot.routes()) {
            routes = routes.plus(route.name(), route);
        }
        PMap<String, String> keys = HashTreePMap.empty();
        for (KeyGrant key : snapshot.keys()) {
            keys = keys.plus(key.hash(), key.team());
        }
        return new Policy(snapshot.version(), teams, routes, pathsOf(routes), keys);
    }

    private static PMap<String, String> pathsOf(PMap<String, Route> routes) {
        PMap<String, String> paths = HashTreePMap.empty();
        for (Route route : routes.values()) {
            paths = paths.plus(route.path(), route.name());
        }
        return paths;
    }
}
