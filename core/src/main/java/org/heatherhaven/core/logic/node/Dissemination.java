package org.heatherhaven.core.logic.node;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;

import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.logic.idempotency.IdempotencyLogic;
import org.heatherhaven.core.logic.leases.LeasePlacement;
import org.heatherhaven.core.logic.leases.LeasesLogic;
import org.heatherhaven.core.logic.membership.MembershipLogic;
import org.heatherhaven.core.logic.membership.Rings;
import org.heatherhaven.core.logic.policy.Policy;
import org.heatherhaven.core.logic.policy.PolicyState;
import org.heatherhaven.core.logic.quota.Borrowing;
import org.heatherhaven.core.logic.quota.Lending;
import org.heatherhaven.core.logic.quota.ShareOwners;
import org.heatherhaven.core.logic.routing.RoutingLogic;
import org.heatherhaven.core.message.PolicyPage;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.PolicyVersion;
import org.heatherhaven.core.model.Route;
import org.heatherhaven.core.model.Team;
import org.pcollections.PMap;

/**
 * Passes new policy versions on to the neighbours, prepares the leases that they need, and runs the periodic tasks that
 * concern the platform watchers, quota and ledgers.
 */
final class Dissemination {

    private static final Duration REVIEW_INTERVAL = Duration.ofSeconds(1);

    private Dissemination() {}

    /**
     * Passes new policy versions on to the neighbours at once, and looks up the leases that new teams and unrepeatable
     * routes need.
     *
     * @param before state of the policy before the event
     * @param versionBefore number of the version in force before the event
     */
    static void policyUpdated(EventContext context, PolicyState before, long versionBefore) {
        Policy policy = context.policy.policy();
        context.recordDecision(
                "policy", "version", "from " + versionBefore, "version " + policy.version() + " in force");
        List<PolicyVersion> newVersions = context.policy.recentVersions().stream()
                .filter(version -> version.version() > versionBefore)
                .toList();
        if (newVersions.isEmpty()) {
            // Only a whole policy was received, without its single versions. It is large, so neighbours get its number
            // only, and those that lack it request it once.
            context.fleet =
                    MembershipLogic.probeNeighboursNow(context.fleet, context.gossipUpdate(), context.now, context.out);
        }
        for (NodeId neighbour : newVersions.isEmpty() ? List.<NodeId>of() : context.fleet.neighbours()) {
            context.out.add(new Effect.Send(neighbour, new PolicyPage(Optional.empty(), newVersions)));
        }
        for (Team team : policy.teams().values()) {
            boolean leasedQuota = context.rules.quota() == QuotaMode.LEASED;
            if (leasedQuota && team.limited() && !before.policy().teams().containsKey(team.name())) {
                prepareLeases(context, LeaseId.Kind.SHARE, team.name(), team.shares());
            }
        }
        for (Route route : policy.routes().values()) {
            boolean existedBefore = before.policy().routes().containsKey(route.name());
            if (route.unrepeatable() && !existedBefore && context.rules.ledger().openedWithPolicy()) {
                route.services()
                        .forEach(weighted -> prepareLeases(
                                context, LeaseId.Kind.SLOT, weighted.service(), IdempotencyLogic.SLOTS_PER_SERVICE));
            }
        }
    }

    /** Looks up, or creates on the platform, the leases whose home is this node. */
    private static void prepareLeases(EventContext context, LeaseId.Kind kind, String name, int count) {
        for (int index = 0; index < count; index++) {
            LeaseId lease = new LeaseId(kind, name, index);
            if (LeasePlacement.home(lease, context.fleet)
                    .filter(context.self()::equals)
                    .isPresent()) {
                context.leases = LeasesLogic.lookUp(context.leases, lease, context.now, context.out);
            }
        }
    }

    /** Determines once per interval whether this node watches the platform for its zone. */
    static void reviewWatcherRole(EventContext context) {
        if (context.now.isBefore(context.watcherRole.reviewAt())) {
            return;
        }
        Collection<Member> members = context.fleet.members().values();
        boolean watcher = Rings.platformWatchers(context.fleet.self().zone(), members).stream()
                .anyMatch(member -> member.id().equals(context.self()));
        context.watcherRole = new WatcherRole(watcher, context.now.plus(REVIEW_INTERVAL));
        context.routing = RoutingLogic.prune(context.routing, context.fleet);
    }

    /** Runs the periodic tasks of token buckets, ledgers and borrowed tokens. */
    static void tickQuotaAndLedgers(EventContext context) {
        tickBuckets(context);
        context.idempotency = IdempotencyLogic.tick(context.idempotency, context.rules.ledger(), context.now);
        PMap<String, Team> teams = context.policy.policy().teams();
        List<Team> borrowers = teamsNamed(teams, context.quota.tokenCaches().keySet().stream());
        context.quota = Borrowing.tick(context.quota, teams, context.borrowingContext(borrowers), context.out);
    }

    /** Returns the teams of some names; names that the policy does not contain are left out. */
    private static List<Team> teamsNamed(PMap<String, Team> teams, Stream<String> names) {
        return names.distinct().map(teams::get).filter(Objects::nonNull).toList();
    }

    /**
     * Refills the buckets of the shares that this node lends out, and closes those that it does not own any more under
     * {@link QuotaMode#PLACED}. Under {@link QuotaMode#LEASED} {@link LeaseHandovers} closes them.
     */
    private static void tickBuckets(EventContext context) {
        PMap<String, Team> teams = context.policy.policy().teams();
        List<Team> lendingTeams =
                teamsNamed(teams, context.quota.buckets().keySet().stream().map(LeaseId::name));
        ShareOwners owners = context.shareOwners(lendingTeams);
        for (LeaseId share : context.quota.buckets().keySet()) {
            Team team = teams.get(share.name());
            boolean noLongerOwner = context.rules.quota() == QuotaMode.PLACED
                    && owners.ownerOf(share).filter(context.self()::equals).isEmpty();
            if (noLongerOwner) {
                context.quota = Lending.closeBucket(context.quota, share);
            } else if (team != null) {
                context.quota = Lending.tick(context.quota, share, owners.withEffectiveShares(team), context.now);
            }
        }
    }
}
