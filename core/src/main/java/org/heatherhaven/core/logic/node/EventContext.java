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
import org.heatherhaven.core.logic.admission.GuardState;
import org.heatherhaven.core.logic.call.EntryCallsState;
import org.heatherhaven.core.logic.callgraph.CallGraphState;
import org.heatherhaven.core.logic.membership.MembershipState;
import org.heatherhaven.core.logic.once.OnceState;
import org.heatherhaven.core.logic.placement.PlacedShares;
import org.heatherhaven.core.logic.placement.PlacementLogic;
import org.heatherhaven.core.logic.placement.PlacementState;
import org.heatherhaven.core.logic.policy.PolicyState;
import org.heatherhaven.core.logic.pressure.PressureState;
import org.heatherhaven.core.logic.pressure.RoutePressure;
import org.heatherhaven.core.logic.quota.Borrowing;
import org.heatherhaven.core.logic.quota.LeasedShares;
import org.heatherhaven.core.logic.quota.QuotaState;
import org.heatherhaven.core.logic.quota.ShareOwners;
import org.heatherhaven.core.logic.registration.RegistrationState;
import org.heatherhaven.core.logic.retry.RepeatAllowance;
import org.heatherhaven.core.logic.rights.RightsState;
import org.heatherhaven.core.logic.routing.RoutingState;
import org.heatherhaven.core.message.Rumours;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.RightId;
import org.heatherhaven.core.model.TargetReport;
import org.heatherhaven.core.model.Team;
import org.pcollections.PMap;

/** The parts of a node's state while one event is worked on; never leaves the step. */
final class EventContext {

    NodeRules rules;
    final Instant now;
    final Outbox out = new Outbox();
    PolicyState policy;
    MembershipState fleet;
    RoutingState routing;
    PressureState entryThresholds;
    RoutePressure routePressure;
    CallGraphState callGraph;
    GuardState admission;
    RegistrationState registration;
    EntryCallsState entryCalls;
    RepeatAllowance retryBudget;
    RightsState leases;
    QuotaState quota;
    PlacementState placement;
    OnceState idempotency;
    PMap<RightId, IncomingHandover> incomingHandovers;
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

    NodeState nextState() {
        return new NodeState(
                rules,
                policy,
                fleet,
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

    NodeId self() {
        return fleet.self().id();
    }

    /** Service beside whose target calls enter here; a target that leaves still stands for it. */
    String originService() {
        return registration.report().map(TargetReport::service).orElse(rules.homeService());
    }

    SplittableRandom random() {
        return new SplittableRandom(rules.seed() + eventCount);
    }

    /** Who lends out the shares of some teams, as far as this node knows at this moment. */
    ShareOwners shareOwners(Collection<Team> teams) {
        if (rules.quota() == QuotaMode.LEASED) {
            return new LeasedShares(leases, fleet);
        }
        placement = PlacementLogic.follow(placement, fleet, now);
        for (Team team : teams) {
            placement = PlacementLogic.place(placement, team, rules.quotaSlack(), fleet);
        }
        return new PlacedShares(placement, leases.self(), !EntryCallHandler.isolated(this));
    }

    Borrowing.Context borrowingContext(Collection<Team> teams) {
        return new Borrowing.Context(shareOwners(teams), now);
    }

    Rumours gossipUpdate() {
        long ago = Math.max(0, Duration.between(policy.confirmedAt(), now).toMillis());
        return new Rumours(List.of(), policy.policy().version(), ago);
    }

    void recordDecision(String subject, String rule, String measure, String result) {
        out.add(new Effect.Note(new Decision(subject, now, policy.policy().version(), rule, measure, result)));
    }
}
