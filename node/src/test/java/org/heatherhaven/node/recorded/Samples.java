package org.heatherhaven.node.recorded;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.model.Grant;
import org.heatherhaven.core.model.Importance;
import org.heatherhaven.core.model.KeyGrant;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.MemberStatus;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Owner;
import org.heatherhaven.core.model.PolicyPatch;
import org.heatherhaven.core.model.PolicySnapshot;
import org.heatherhaven.core.model.PolicyVersion;
import org.heatherhaven.core.model.Route;
import org.heatherhaven.core.model.Team;
import org.heatherhaven.core.model.WeightedService;
import org.heatherhaven.core.model.Zone;

/** Sample values of the records that are both sent and stored; each component has a different value. */
public final class Samples {

    public static final NodeId FIRST = new NodeId("10.1.0.1:7001");
    public static final NodeId SECOND = new NodeId("10.2.0.2:7002");
    public static final Owner HOLDER = new Owner(FIRST, 1_700_000_000_123L);
    public static final Owner STANDBY = new Owner(SECOND, 1_700_000_456_789L);
    public static final LeaseId SHARE = new LeaseId(LeaseId.Kind.SHARE, "banquets", 3);
    public static final LeaseId SLOT = new LeaseId(LeaseId.Kind.SLOT, "bookings", 5);
    public static final Grant GRANT = new Grant(HOLDER, Optional.of(STANDBY), 41);
    public static final Grant GRANT_ALONE = new Grant(STANDBY, Optional.empty(), 42);

    public static final Member MEMBER =
            new Member(FIRST, 1_700_000_000_123L, 2, MemberStatus.DRAINING, new Zone("north", "n1"), "pricing", 15);

    /** One member of each status. */
    public static final List<Member> MEMBERS = List.of(
            MEMBER,
            member(2, 0, MemberStatus.ALIVE, new Zone("north", "n2"), "bookings", 7),
            member(3, 4, MemberStatus.SUSPECT, new Zone("south", "s1"), "", 0),
            member(4, 5, MemberStatus.DEAD, new Zone("south", "s2"), "rooms", 300),
            member(5, 6, MemberStatus.LEFT, new Zone("south", "s2"), "stays", 70_000));

    /** One team with an importance of its own, and one without. */
    public static final List<Team> TEAMS = List.of(
            new Team("banquets", 12.5, 6.25, 3, Optional.of(Importance.HIGH)),
            new Team("crews", 1_000, 2_000, 64, Optional.empty()));

    /** One route of each importance; each route has exactly one of the two flags set. */
    public static final List<Route> ROUTES = List.of(
            new Route(
                    "book",
                    "inn.example",
                    "/bookings",
                    List.of(new WeightedService("bookings", 0.75), new WeightedService("bookings-next", 2)),
                    Importance.CRITICAL,
                    true,
                    false,
                    new Route.Limits(Duration.ofMillis(1_550), Duration.ofMillis(725), 3)),
            route("quote", "/pricing", Importance.HIGH, 1),
            route("browse", "/browse", Importance.NORMAL, 2),
            route("hints", "/hints", Importance.LOW, 4));

    public static final List<KeyGrant> KEYS =
            List.of(new KeyGrant("0a".repeat(32), "banquets"), new KeyGrant("b1".repeat(32), "crews"));

    public static final PolicyPatch PATCH = new PolicyPatch(
            "patch-7",
            16,
            "ada",
            "why it was sent",
            TEAMS,
            ROUTES,
            KEYS,
            List.of("old-team", "older-team"),
            List.of("old-route"),
            List.of("c2".repeat(32)));

    public static final PolicyVersion VERSION = new PolicyVersion(17, PATCH);
    public static final PolicySnapshot SNAPSHOT = new PolicySnapshot(23, TEAMS, ROUTES, KEYS);

    private Samples() {}

    private static Member member(
            int number, int refutation, MemberStatus status, Zone zone, String service, int slots) {
        return new Member(
                new NodeId("10.3.0." + number + ":7003"),
                1_700_000_000_000L + number,
                refutation,
                status,
                zone,
                service,
                slots);
    }

    private static Route route(String name, String path, Importance importance, int retries) {
        return new Route(
                name,
                "",
                path,
                List.of(new WeightedService("pricing", 1)),
                importance,
                false,
                true,
                new Route.Limits(Duration.ofMillis(2_000), Duration.ofMillis(300), retries));
    }
}
