package org.heatherhaven.core.logic.policy;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.Example;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.Route;
import org.heatherhaven.core.model.WeightedService;

/** A request uses the route with the longest matching path prefix among the routes of its host. */
class RouteLookupTest {

    private static Route route(String name, String host, String path) {
        return new Route(
                name,
                host,
                path,
                List.of(new WeightedService("s", 1)),
                Importance.NORMAL,
                false,
                true,
                new Route.Limits(Duration.ofSeconds(1), 1));
    }

    private static final Policy POLICY = Policy.fromSnapshot(new PolicySnapshot(
            7,
            List.of(),
            List.of(
                    route("outer", "a.example", "/x/"),
                    route("inner", "a.example", "/x/y/"),
                    route("other", "b.example", "/x/"),
                    route("plain", "", "/bookings")),
            List.of()));

    private static void assertRoute(String host, String path, String name) {
        Optional<String> found = POLICY.routeOf(host, path).map(Route::name);
        if (!found.equals(Optional.ofNullable(name.isEmpty() ? null : name))) {
            throw new AssertionError(host + path + " leads to " + found);
        }
    }

    @Example
    void theLongestOfNestedPrefixesApplies() {
        assertRoute("a.example", "/x/y/z", "inner");
        assertRoute("a.example", "/x/yy/z", "outer");
        assertRoute("a.example", "/x/y/?q=/x/", "inner");
    }

    @Example
    void aPrefixWithATrailingSlashDoesNotMatchThePathWithoutIt() {
        assertRoute("a.example", "/x/y", "outer");
        assertRoute("a.example", "/x", "");
    }

    @Example
    void routesOfOtherHostsAreIgnored() {
        assertRoute("b.example", "/x/y/z", "other");
        assertRoute("c.example", "/x/y/z", "");
    }

    @Example
    void routesForAnyHostApplyIfNoRouteOfTheHostMatches() {
        assertRoute("a.example", "/bookings/new", "plain");
        assertRoute("", "/bookings", "plain");
        assertRoute("", "/bookingsx", "");
    }

    @Example
    void requestsAreSplitBetweenServicesByWeight() {
        Route split = new Route(
                "split",
                "",
                "/s",
                List.of(new WeightedService("big", 90), new WeightedService("small", 10)),
                Importance.NORMAL,
                false,
                true,
                new Route.Limits(Duration.ofSeconds(1), 1));
        if (!split.serviceAt(0.89).equals("big") || !split.serviceAt(0.91).equals("small")) {
            throw new AssertionError("split at the wrong point");
        }
    }
}
