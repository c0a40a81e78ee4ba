package org.heatherhaven.core.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.KeyGrant;
import org.heatherhaven.core.model.PolicyPatch;
import org.heatherhaven.core.model.Route;
import org.heatherhaven.core.model.Team;

/** Policies, patches and API keys for tests. */
public final class Policies {

    public static final String KEY = "a".repeat(64);
    public static final String OTHER_KEY = "b".repeat(64);

    private Policies() {}

    public static PolicyPatch first(double rate, double burst, int shares) {
        return new PolicyPatch(
                "first",
                0,
                "test",
                "",
                List.of(new Team("banquets", rate, burst, shares), new Team("crews", 1_000, 1_000, 1)),
                List.of(
                        route("book", "/bookings", "bookings", Importance.CRITICAL, true, false),
                        route("quote", "/pricing", "pricing", Importance.HIGH, false, false),
                        route("browse", "/browse", "pricing", Importance.LOW, false, false),
                        route("open", "/open", "pricing", Importance.NORMAL, false, true)),
                List.of(new KeyGrant(KEY, "banquets"), new KeyGrant(OTHER_KEY, "crews")),
                List.of(),
                List.of(),
                List.of());
    }

    public static Route route(
            String name, String path, String service, Importance importance, boolean unrepeatable, boolean open) {
        return new Route(
                name, path, service, importance, unrepeatable, open, new Route.Limits(Duration.ofSeconds(2), 3));
    }

    public static PolicyPatch withdraw(String id, long base, String key) {
        return new PolicyPatch(
                id, base, "test", "", List.of(), List.of(), List.of(), List.of(), List.of(), List.of(key));
    }

    public static PolicyPatch teamRate(String id, long base, double rate, double burst, int shares) {
        return new PolicyPatch(
                id,
                base,
                "test",
                "",
                List.of(new Team("banquets", rate, burst, shares)),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of());
    }

    public static Optional<String> key() {
        return Optional.of(KEY);
    }
}
