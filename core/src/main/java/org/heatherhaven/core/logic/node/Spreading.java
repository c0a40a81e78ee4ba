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
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.PolicyVersion;
import org.heatherhaven.core.model.Route;
import org.heatherhaven.core.model.Team;
import org.pcollections.PMap;

/** What follows from new policy versions, and the duties that a few nodes carry for all. */
final class Spreading {

    private static final Duration REVIEW_INTERVAL = Duration.ofSeconds(1);

    private Spreading() {}

    /** Passes new versions on to the neighbours at once, and prepares the rights that they call for. */
    static void policyAdvanced(Step step, PolicyState before, long versionBefore) {
        Policy policy = step.policy.policy();
        step.note("policy", "version", "from " + versionBefore, "version " + policy.version() + " in force");
        List<PolicyVersion> fresh = step.policy.recent().stream()
                .filter(version -> version.version() > versionBefore)
                .toList();
        if (fresh.isEmpty()) {
            // A whole policy is large: neighbours hear its number, and those that lack it ask for it once.
            step.fleet = MembershipLogic.tellNeighbours(step.fleet, step.rumours(), step.now, step.out);
        }
        for (NodeId neighbour : fresh.isEmpty() ? List.<NodeId>of() : step.fleet.neighbours()) {
            step.out.add(new Effect.Send(neighbour, new PolicyPage(Optional.empty(), fresh)));
        }
        for (Team team : policy.teams().values()) {
            boolean leased = step.rules.quota() == QuotaMode.LEASED;
            if (leased && team.limited() && !before.policy().teams().containsKey(team.name())) {
                prepare(step, LeaseId.Kind.SHARE, team.name(), team.shares());
            }
        }
        for (Route route : policy.routes().values()) {
            boolean known = before.policy().routes().containsKey(route.name());
            if (route.unrepeatable() && !known && step.rules.ledger().prepared()) {
                route.services()
                        .forEach(part -> prepare(step, LeaseId.Kind.SLOT, part.service(), OnceLogic.SLOTS_PER_SERVICE));
            }
        }
    }

    private static void prepare(Step step, LeaseId.Kind kind, String name, int count) {
        for (int index = 0; index < count; index++) {
            LeaseId right = new LeaseId(kind, name, index);
            if (Placement.home(right, step.fleet).filter(step.self()::equals).isPresent()) {
                step.rights = RightsLogic.lookUp(step.rights, right, step.now, step.out);
            }
        }
    }

    /** Works out now and then whether this node watches the platform for its zone. */
    static void review(Step step) {
        if (step.now.isBefore(step.duties.reviewAt())) {
            return;
        }
        Collection<Member> members = step.fleet.members().values();
        boolean watcher = Rings.watchers(step.fleet.self().zone(), members).stream()
                .anyMatch(member -> member.id().equals(step.self()));
        step.duties = new Duties(watcher, step.now.plus(REVIEW_INTERVAL));
        step.routing = RoutingLogic.prune(step.routing, step.fleet);
    }

    static void tickHoldings(Step step) {
        tickBuckets(step);
        step.once = OnceLogic.tick(step.once, step.rules.ledger(), step.now);
        PMap<String, Team> teams = step.policy.policy().teams();
        List<Team> borrowers = known(teams, step.quota.wallets().keySet().stream());
        step.quota = Borrowing.tick(step.quota, teams, step.borrowing(borrowers), step.out);
    }

    private static List<Team> known(PMap<String, Team> teams, Stream<String> names) {
        return names.distinct().map(teams::get).filter(Objects::nonNull).toList();
    }

    private static void tickBuckets(Step step) {
        PMap<String, Team> teams = step.policy.policy().teams();
        List<Team> lent = known(teams, step.quota.buckets().keySet().stream().map(LeaseId::name));
        ShareOwners owners = step.shareOwners(lent);
        for (LeaseId right : step.quota.buckets().keySet()) {
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
