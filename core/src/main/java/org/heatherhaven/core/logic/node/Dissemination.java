package org.heatherhaven.core.logic.node;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.logic.membership.MembershipLogic;
import org.heatherhaven.core.logic.membership.Rings;
import org.heatherhaven.core.logic.once.OnceLogic;
import org.heatherhaven.core.logic.policy.Policy;
import org.heatherhaven.core.logic.policy.PolicyState;
import org.heatherhaven.core.logic.quota.Borrowing;
import org.heatherhaven.core.logic.quota.Lending;
import org.heatherhaven.core.logic.quota.ShareOwners;
import org.heatherhaven.core.logic.rights.Placement;
import org.heatherhaven.core.logic.rights.RightsLogic;
import org.heatherhaven.core.logic.routing.RoutingLogic;
import org.heatherhaven.core.message.PolicyPage;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.PolicyVersion;
import org.heatherhaven.core.model.RightId;
import org.heatherhaven.core.model.Route;
import org.heatherhaven.core.model.Team;
import org.pcollections.PMap;

/** What follows from new policy versions, and the duties that a few nodes carry for all. */
final class Dissemination {

    private static final Duration REVIEW_INTERVAL = Duration.ofSeconds(1);

    private Dissemination() {}

    /** Passes new versions on to the neighbours at once, and prepares the rights that they call for. */
    static void policyUpdated(EventContext step, PolicyState before, long versionBefore) {
        Policy policy = step.policy.policy();
        step.recordDecision("policy", "version", "from " + versionBefore, "version " + policy.version() + " in force");
        List<PolicyVersion> fresh = step.policy.recent().stream()
                .filter(version -> version.version() > versionBefore)
                .toList();
        if (fresh.isEmpty()) {
            // A whole policy is large: neighbours hear its number, and those that lack it ask for it once.
            step.fleet = MembershipLogic.tellNeighbours(step.fleet, step.gossipUpdate(), step.now, step.out);
        }
        for (NodeId neighbour : fresh.isEmpty() ? List.<NodeId>of() : step.fleet.neighbours()) {
            step.out.add(new Effect.Send(neighbour, new PolicyPage(Optional.empty(), fresh)));
        }
        for (Team team : policy.teams().values()) {
            boolean leased = step.rules.quota() == QuotaMode.LEASED;
            if (leased && team.limited() && !before.policy().teams().containsKey(team.name())) {
                prepareLeases(step, RightId.Kind.SHARE, team.name(), team.shares());
            }
        }
        for (Route route : policy.routes().values()) {
            boolean known = before.policy().routes().containsKey(route.name());
            if (route.unrepeatable() && !known && step.rules.ledger().prepared()) {
                route.services()
                        .forEach(part ->
                                prepareLeases(step, RightId.Kind.SLOT, part.service(), OnceLogic.SLOTS_PER_SERVICE));
            }
        }
    }

    private static void prepareLeases(EventContext step, RightId.Kind kind, String name, int count) {
        for (int index = 0; index < count; index++) {
            RightId right = new RightId(kind, name, index);
            if (Placement.home(right, step.fleet).filter(step.self()::equals).isPresent()) {
                step.leases = RightsLogic.lookUp(step.leases, right, step.now, step.out);
            }
        }
    }

    /** Works out now and then whether this node watches the platform for its zone. */
    static void reviewWatcherRole(EventContext step) {
        if (step.now.isBefore(step.watcherRole.reviewAt())) {
            return;
        }
        Collection<Member> members = step.fleet.members().values();
        boolean watcher = Rings.watchers(step.fleet.self().zone(), members).stream()
                .anyMatch(member -> member.id().equals(step.self()));
        step.watcherRole = new WatcherRole(watcher, step.now.plus(REVIEW_INTERVAL));
        step.routing = RoutingLogic.prune(step.routing, step.fleet);
    }

    static void tickQuotaAndLedgers(EventContext step) {
        tickBuckets(step);
        step.idempotency = OnceLogic.tick(step.idempotency, step.rules.ledger(), step.now);
        PMap<String, Team> teams = step.policy.policy().teams();
        List<Team> borrowers = teamsNamed(teams, step.quota.wallets().keySet().stream());
        step.quota = Borrowing.tick(step.quota, teams, step.borrowingContext(borrowers), step.out);
    }

    private static List<Team> teamsNamed(PMap<String, Team> teams, Stream<String> names) {
        return names.distinct().map(teams::get).filter(Objects::nonNull).toList();
    }

    private static void tickBuckets(EventContext step) {
        PMap<String, Team> teams = step.policy.policy().teams();
        List<Team> lent =
                teamsNamed(teams, step.quota.buckets().keySet().stream().map(RightId::name));
        ShareOwners owners = step.shareOwners(lent);
        for (RightId right : step.quota.buckets().keySet()) {
            Team team = teams.get(right.name());
            boolean lost = step.rules.quota() == QuotaMode.PLACED
                    && owners.ownerOf(right).filter(step.self()::equals).isEmpty();
            if (lost) {
                step.quota = Lending.closed(step.quota, right);
            } else if (team != null) {
                step.quota = Lending.tick(step.quota, right, owners.divided(team), step.now);
            }
        }
    }
}
