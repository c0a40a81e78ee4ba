package org.heatherhaven.core.logic.policy;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.Example;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.Route;
import org.heatherhaven.core.model.WeightedService;

/** The longest prefix of the request's own host wins. */
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

    private static void leads(String host, String path, String name) {
        Optional<String> found = POLICY.routeOf(host, path).map(Route::name);
        if (!found.equals(Optional.ofNullable(name.isEmpty() ? null : name))) {
            throw new AssertionError(host + path + " leads to " + found);
        }
    }

    @Example
    void nestedPrefixesGoByTheLongest() {
        leads("a.example", "/x/y/z", "inner");
        leads("a.example", "/x/yy/z", "outer");
        leads("a.example", "/x/y/?q=/x/", "inner");
    }

    @Example
    void aPrefixThatEndsWithASlashDoesNotStandForThePathWithoutIt() {
        leads("a.example", "/x/y", "outer");
        leads("a.example", "/x", "");
    }

    @Example
    void routesOfAnotherHostAreNotSeen() {
        leads("b.example", "/x/y/z", "other");
        leads("c.example", "/x/y/z", "");
    }

    @Example
    void routesForAnyHostTakeWhatNoOwnRouteTakes() {
        leads("a.example", "/bookings/new", "plain");
        leads("", "/bookings", "plain");
        leads("", "/bookingsx", "");
    }

    @Example
    void requestsAreSplitByWeight() {
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
