package org.heatherhaven.core.logic.policy;

import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.logic.pressure.ShedRule;
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
 * @param version number of the version, 0 before the first
 * @param teams teams by name
 * @param routes routes by name
 * @param routeNamesByPrefix names of routes by host and path prefix
 * @param keys names of teams by key hash
 * @param urgencyLevels urgencies that root requests can have, ascending; requests of the last level are shed first
 */
public record Policy(
        long version,
        PMap<String, Team> teams,
        PMap<String, Route> routes,
        PMap<RouteKey, String> routeNamesByPrefix,
        PMap<String, String> keys,
        List<Integer> urgencyLevels) {

    /** The policy before the first version. It has no routes, so every request is refused. */
    public static final Policy EMPTY = new Policy(
            0, HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty(), List.of());

    /**
     * Finds the route of a request: the longest matching path prefix among the routes of its host, otherwise among the
     * routes for any host. The prefix {@code /a} matches that path and all paths below it; {@code /a/} matches only
     * paths that start with it.
     *
     * @param host host that the request names, in lower case
     * @param pathWithQuery path of the request, with its query if it has one
     * @return the route, empty if none matches
     */
    public Optional<Route> routeOf(String host, String pathWithQuery) {
        int query = pathWithQuery.indexOf('?');
        String path = query < 0 ? pathWithQuery : pathWithQuery.substring(0, query);
        Optional<Route> ofHost = longestPrefix(host, path);
        return ofHost.isPresent() || host.equals(Route.ANY_HOST) ? ofHost : longestPrefix(Route.ANY_HOST, path);
    }

    private Optional<Route> longestPrefix(String host, String path) {
        String prefix = path;
        while (!prefix.isEmpty()) {
            String name = routeNamesByPrefix.get(new RouteKey(host, prefix));
            if (name != null) {
                return Optional.of(routes.get(name));
            }
            int end = prefix.endsWith("/") ? prefix.length() - 1 : prefix.lastIndexOf('/') + 1;
            prefix = prefix.substring(0, end);
        }
        return Optional.empty();
    }

    /**
     * Finds the team of a key.
     *
     * @param keyHash SHA-256 of the key, in lower-case hexadecimal
     * @return the team, empty if the key is not in force
     */
    public Optional<Team> teamOf(String keyHash) {
        return Optional.ofNullable(keys.get(keyHash)).map(teams::get);
    }

    /**
     * Applies an accepted version.
     *
     * @param next the version; its number must be one above that of this policy
     * @return the policy of that version
     * @throws PolicyException if the patch violates a rule or is based on another version
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
        return new Policy(
                next.version(),
                newTeams,
                newRoutes,
                indexByPrefix(newRoutes),
                newKeys,
                ShedRule.levels(newRoutes.values(), newTeams.values()));
    }

    /**
     * Converts this policy to the form in which it is stored and sent.
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
     * Creates a policy from the form in which it is stored and sent.
     *
     * @param snapshot the snapshot
     * @return the policy
     */
    public static Policy fromSnapshot(PolicySnapshot snapshot) {
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
        return new Policy(
                snapshot.version(),
                teams,
                routes,
                indexByPrefix(routes),
                keys,
                ShedRule.levels(routes.values(), teams.values()));
    }

    private static PMap<RouteKey, String> indexByPrefix(PMap<String, Route> routes) {
        PMap<RouteKey, String> paths = HashTreePMap.empty();
        for (Route route : routes.values()) {
            paths = paths.plus(new RouteKey(route.host(), route.path()), route.name());
        }
        return paths;
    }

    /**
     * The host and path prefix of a route.
     *
     * @param host host in lower case, empty for any host
     * @param prefix path prefix
     */
    public record RouteKey(String host, String prefix) {
        private static final int PRIME = 31;

        @Override
        public boolean equals(Object other) {
            return other instanceof RouteKey that && host.equals(that.host) && prefix.equals(that.prefix);
        }

        @Override
        public int hashCode() {
            return PRIME * host.hashCode() + prefix.hashCode();
        }
    }
}
