package org.heatherhaven.core.logic.node;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.heatherhaven.core.effect.Decision;
import org.heatherhaven.core.effect.Effect;
import org.heatherhaven.core.effect.Outbox;
import org.heatherhaven.core.logic.admission.AdmissionState;
import org.heatherhaven.core.logic.call.EntryCallsState;
import org.heatherhaven.core.logic.callgraph.CallGraphState;
import org.heatherhaven.core.logic.idempotency.IdempotencyState;
import org.heatherhaven.core.logic.leases.LeasesState;
import org.heatherhaven.core.logic.membership.AnnouncementState;
import org.heatherhaven.core.logic.membership.MembershipState;
import org.heatherhaven.core.logic.placement.PlacedShares;
import org.heatherhaven.core.logic.placement.PlacementLogic;
import org.heatherhaven.core.logic.placement.PlacementState;
import org.heatherhaven.core.logic.policy.PolicyState;
import org.heatherhaven.core.logic.pressure.RoutePressure;
import org.heatherhaven.core.logic.pressure.RouteThresholds;
import org.heatherhaven.core.logic.quota.Borrowing;
import org.heatherhaven.core.logic.quota.LeasedShares;
import org.heatherhaven.core.logic.quota.QuotaState;
import org.heatherhaven.core.logic.quota.ShareOwners;
import org.heatherhaven.core.logic.registration.RegistrationState;
import org.heatherhaven.core.logic.retry.RetryBudget;
import org.heatherhaven.core.logic.routing.RoutingState;
import org.heatherhaven.core.message.GossipUpdate;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.TargetReport;
import org.heatherhaven.core.model.Team;
import org.pcollections.PMap;

/** Mutable copy of a node's state while one event is handled, with the effects so far; not used beyond that event. */
final class EventContext {

    NodeRules rules;
    final Instant now;
    final Outbox out = new Outbox();
    PolicyState policy;
    MembershipState fleet;
    AnnouncementState announcement;
    RoutingState routing;
    RouteThresholds entryThresholds;
    RoutePressure routePressure;
    CallGraphState callGraph;
    AdmissionState admission;
    RegistrationState registration;
    EntryCallsState entryCalls;
    RetryBudget retryBudget;
    LeasesState leases;
    QuotaState quota;
    PlacementState placement;
    IdempotencyState idempotency;
    PMap<LeaseId, IncomingHandover> incomingHandovers;
    Optional<Instant> drainingSince;
    long oldestValidLink;
    boolean resumedAfterPause;
    WatcherRole watcherRole;
    private final long eventCount;

    EventContext(NodeState state, Instant now) {
        this.rules = state.rules();
        this.now = now;
        this.policy = state.policy();
        this.fleet = state.fleet();
        this.announcement = state.announcement();
        this.routing = state.routing();
        this.entryThresholds = state.entryThresholds();
        this.routePressure = state.routePressure();
        this.callGraph = state.callGraph();
        this.admission = state.admission();
        this.registration = state.registration();
        this.entryCalls = state.entryCalls();
        this.retryBudget = state.retryBudget();
        this.leases = state.leases();
        this.quota = state.quota();
        this.placement = state.placement();
        this.idempotency = state.idempotency();
        this.incomingHandovers = state.incomingHandovers();
        this.drainingSince = state.drainingSince();
        this.oldestValidLink = state.oldestValidLink();
        this.resumedAfterPause = state.resumedAfterPause();
        this.watcherRole = state.watcherRole();
        this.eventCount = state.eventCount();
    }

    /** Returns the state after the event. */
    NodeState nextState() {
        return new NodeState(
                rules,
                policy,
                fleet,
                announcement,
                routing,
                entryThresholds,
                routePressure,
                callGraph,
                admission,
                registration,
                entryCalls,
                retryBudget,
                leases,
                quota,
                placement,
                idempotency,
                incomingHandovers,
                drainingSince,
                now,
                oldestValidLink,
                resumedAfterPause,
                watcherRole,
                eventCount + 1);
    }

    /** Returns the id of this node. */
    NodeId self() {
        return fleet.self().id();
    }

    /**
     * Returns the service named as the origin of calls that enter at this node: that of the target, also after the
     * target has left, or the home service from the settings before the first report.
     */
    String originService() {
        return registration.report().map(TargetReport::service).orElse(rules.homeService());
    }

    /**
     * Returns a source of random numbers for this event. It depends on the seed and the number of the event alone, so
     * every source returned during one event yields the same sequence.
     */
    SplittableRandom random() {
        return new SplittableRandom(rules.seed() + eventCount);
    }

    /**
     * Returns the lookup of the nodes that lend out shares; with placed shares, those of the given teams are computed.
     */
    ShareOwners shareOwners(Collection<Team> teams) {
        if (rules.quota() == QuotaMode.LEASED) {
            return new LeasedShares(leases, fleet);
        }
        placement = PlacementLogic.updateLenders(placement, fleet, now);
        for (Team team : teams) {
            placement = PlacementLogic.computeShares(placement, team, rules.quotaSlack(), fleet);
        }
        return new PlacedShares(placement, leases.self(), !EntryCallHandler.isolated(this));
    }

    /** Returns the owners of the teams' shares and the time, as borrowing needs them. */
    Borrowing.Context borrowingContext(Collection<Team> teams) {
        return new Borrowing.Context(shareOwners(teams), now);
    }

    /**
     * Returns the policy version in force and the age of its confirmation, in milliseconds, to be sent with gossip;
     * without membership changes.
     */
    GossipUpdate gossipUpdate() {
        long confirmedAgoMillis =
                Math.max(0, Duration.between(policy.confirmedAt(), now).toMillis());
        return new GossipUpdate(List.of(), policy.policy().version(), confirmedAgoMillis);
    }

    /**
     * Records a decision, so that operators can have it explained.
     *
     * @param subject request, lease or part of the node that it concerns
     * @param rule rule that decided
     * @param measure inputs of the decision
     * @param result what was decided
     */
    void recordDecision(String subject, String rule, String measure, String result) {
        out.add(new Effect.RecordDecision(
                new Decision(subject, now, policy.policy().version(), rule, measure, result)));
    }
}
