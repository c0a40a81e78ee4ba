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
import org.heatherhaven.core.logic.call.CallsState;
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
import org.heatherhaven.core.message.GossipUpdate;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.TargetReport;
import org.heatherhaven.core.model.Team;
import org.pcollections.PMap;

/** The parts of a node's state while one event is worked on; never leaves the step. */
final class Step {

    NodeRules rules;
    final Instant now;
    final Outbox out = new Outbox();
    PolicyState policy;
    MembershipState fleet;
    RoutingState routing;
    PressureState pressure;
    RoutePressure routePressure;
    CallGraphState callGraph;
    GuardState guard;
    RegistrationState registration;
    CallsState calls;
    RepeatAllowance repeats;
    RightsState rights;
    QuotaState quota;
    PlacementState placement;
    OnceState once;
    PMap<LeaseId, Incoming> incoming;
    Optional<Instant> drainingSince;
    long linkFloor;
    boolean thawing;
    Duties duties;
    private final long steps;

    Step(NodeState state, Instant now) {
        this.rules = state.rules();
        this.now = now;
        this.policy = state.policy();
        this.fleet = state.fleet();
        this.routing = state.routing();
        this.pressure = state.pressure();
        this.routePressure = state.routePressure();
        this.callGraph = state.callGraph();
        this.guard = state.guard();
        this.registration = state.registration();
        this.calls = state.calls();
        this.repeats = state.repeats();
        this.rights = state.rights();
        this.quota = state.quota();
        this.placement = state.placement();
        this.once = state.once();
        this.incoming = state.incoming();
        this.drainingSince = state.drainingSince();
        this.linkFloor = state.linkFloor();
        this.thawing = state.thawing();
        this.duties = state.duties();
        this.steps = state.steps();
    }

    NodeState finish() {
        return new NodeState(
                rules,
                policy,
                fleet,
                routing,
                pressure,
                routePressure,
                callGraph,
                guard,
                registration,
                calls,
                repeats,
                rights,
                quota,
                placement,
                once,
                incoming,
                drainingSince,
                now,
                linkFloor,
                thawing,
                duties,
                steps + 1);
    }

    NodeId self() {
        return fleet.self().id();
    }

    /** Service beside whose target calls enter here; a target that leaves still stands for it. */
    String origin() {
        return registration.report().map(TargetReport::service).orElse(rules.homeService());
    }

    SplittableRandom random() {
        return new SplittableRandom(rules.seed() + steps);
    }

    /** Who lends out the shares of some teams, as far as this node knows at this moment. */
    ShareOwners shareOwners(Collection<Team> teams) {
        if (rules.quota() == QuotaMode.LEASED) {
            return new LeasedShares(rights, fleet);
        }
        placement = PlacementLogic.follow(placement, fleet, now);
        for (Team team : teams) {
            placement = PlacementLogic.place(placement, team, rules.quotaSlack(), fleet);
        }
        return new PlacedShares(placement, rights.self(), !CallFlow.isolated(this));
    }

    Borrowing.Context borrowing(Collection<Team> teams) {
        return new Borrowing.Context(shareOwners(teams), now);
    }

    GossipUpdate rumours() {
        long ago = Math.max(0, Duration.between(policy.confirmedAt(), now).toMillis());
        return new GossipUpdate(List.of(), policy.policy().version(), ago);
    }

    void note(String subject, String rule, String measure, String result) {
        out.add(new Effect.RecordDecision(
                new Decision(subject, now, policy.policy().version(), rule, measure, result)));
    }
}
