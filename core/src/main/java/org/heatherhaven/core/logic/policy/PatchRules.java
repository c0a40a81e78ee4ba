package org.heatherhaven.core.logic.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

import org.heatherhaven.core.logic.policy.PolicyException.Code;
import org.heatherhaven.core.model.KeyGrant;
import org.heatherhaven.core.model.PolicyPatch;
import org.heatherhaven.core.model.Route;
import org.heatherhaven.core.model.Team;
import org.heatherhaven.core.model.WeightedService;

/** Validates policy patches. The same rules apply at the node that accepts a patch and at the nodes that apply it. */
final class PatchRules {

    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,63}");
    private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern PATH = Pattern.compile("(/[A-Za-z0-9._~-]+)+");
    private static final int MAX_SHARES = 1_024;
    private static final double MAX_RATE = 10_000_000;
    private static final int MAX_RETRIES = 100;

    /**
     * Upper limit of a route's timeout. It is well below the time for which the idempotency ledgers keep their entries,
     * so that no permit is used after its entry was dropped.
     */
    private static final Duration MAX_TIMEOUT = Duration.ofMinutes(1);

    /** Minimum burst of a share of a team, in tokens. A share with a smaller burst could not lend whole tokens. */
    private static final double MIN_SHARE_BURST = 1;

    private PatchRules() {}

    /**
     * Checks a patch against the policy that it would change.
     *
     * @param policy the policy in force
     * @param patch the patch
     * @throws PolicyException if the patch violates a rule
     */
    static void check(Policy policy, PolicyPatch patch) {
        require(
                patch.base() == policy.version(),
                Code.WRONG_BASE,
                "patch was written against version " + patch.base() + ", but version " + policy.version()
                        + " is in force");
        patch.teams().forEach(team -> checkTeam(policy, team));
        patch.routes().forEach(PatchRules::checkRoute);
        checkRemovals(policy, patch);
        checkKeys(policy, patch);
        checkPaths(policy, patch);
    }

    private static void checkTeam(Policy policy, Team team) {
        require(NAME.matcher(team.name()).matches(), Code.BAD_VALUE, "team name '" + team.name() + "' is not a name");
        require(
                team.rate() > 0 && team.rate() <= MAX_RATE,
                Code.BAD_VALUE,
                "rate of " + team.name() + " is not in range");
        require(team.shares() >= 1 && team.shares() <= MAX_SHARES, Code.BAD_VALUE, "shares of " + team.name());
        require(
                team.shareBurst() >= MIN_SHARE_BURST && team.burst() <= MAX_RATE,
                Code.BAD_VALUE,
                "burst of " + team.name() + " must be at least 1 a share");
        Team current = policy.teams().get(team.name());
        // While a new version spreads, shares would be held under the old and the new count at the same time, and
        // together exceed the rate.
        require(
                current == null || current.shares() == team.shares(),
                Code.SHARES_FIXED,
                "shares of team " + team.name() + " can't change while it exists");
    }

    private static void checkRoute(Route route) {
        require(
                NAME.matcher(route.name()).matches(),
                Code.BAD_VALUE,
                "route name '" + route.name() + "' is not a name");
        require(!route.services().isEmpty(), Code.BAD_VALUE, "route " + route.name() + " leads to no service");
        for (WeightedService weighted : route.services()) {
            require(NAME.matcher(weighted.service()).matches(), Code.BAD_VALUE, "service of route " + route.name());
            require(
                    weighted.weight() > 0,
                    Code.BAD_VALUE,
                    "weight of " + weighted.service() + " in route " + route.name());
        }
        require(PATH.matcher(route.path()).matches(), Code.BAD_VALUE, "path of route " + route.name());
        require(
                route.timeout().toMillis() > 0 && route.timeout().compareTo(MAX_TIMEOUT) <= 0,
                Code.BAD_VALUE,
                "timeout of route " + route.name() + " is not in range");
        require(
                route.retries() >= 0 && route.retries() <= MAX_RETRIES,
                Code.BAD_VALUE,
                "retries of route " + route.name() + " are not in range");
    }

    private static void checkRemovals(Policy policy, PolicyPatch patch) {
        for (String team : patch.removedTeams()) {
            require(policy.teams().containsKey(team), Code.UNKNOWN_NAME, "no team " + team);
        }
        for (String route : patch.removedRoutes()) {
            require(policy.routes().containsKey(route), Code.UNKNOWN_NAME, "no route " + route);
        }
        for (String hash : patch.withdrawnKeys()) {
            require(policy.keys().containsKey(hash), Code.UNKNOWN_NAME, "no such key in force");
        }
    }

    private static void checkKeys(Policy policy, PolicyPatch patch) {
        Set<String> teams = new HashSet<>(policy.teams().keySet());
        teams.removeAll(patch.removedTeams());
        patch.teams().forEach(team -> teams.add(team.name()));
        for (KeyGrant key : patch.keys()) {
            require(HASH.matcher(key.hash()).matches(), Code.BAD_VALUE, "key hash is not SHA-256 in hexadecimal");
            require(teams.contains(key.team()), Code.UNKNOWN_NAME, "no team " + key.team());
        }
    }

    private static void checkPaths(Policy policy, PolicyPatch patch) {
        Map<String, Route> routes = new HashMap<>(policy.routes());
        patch.removedRoutes().forEach(routes::remove);
        patch.routes().forEach(route -> routes.put(route.name(), route));
        Map<Policy.RouteKey, String> owners = new HashMap<>();
        for (Route route : routes.values()) {
            String other = owners.put(new Policy.RouteKey(route.host(), route.path()), route.name());
            require(other == null, Code.BAD_VALUE, "path " + route.path() + " belongs to two routes");
        }
    }

    private static void require(boolean condition, Code code, String message) {
        if (!condition) {
            throw new PolicyException(code, message);
        }
    }
}
