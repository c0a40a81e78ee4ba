package org.heatherhaven.core.logic.node;

import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.logic.admission.AdmissionLogic;
import org.heatherhaven.core.logic.admission.AdmissionState;
import org.heatherhaven.core.logic.call.EntryCallsState;
import org.heatherhaven.core.logic.callgraph.CallGraphState;
import org.heatherhaven.core.logic.idempotency.IdempotencyState;
import org.heatherhaven.core.logic.leases.LeasesState;
import org.heatherhaven.core.logic.membership.AnnouncementState;
import org.heatherhaven.core.logic.membership.MembershipState;
import org.heatherhaven.core.logic.placement.PlacementLogic;
import org.heatherhaven.core.logic.placement.PlacementState;
import org.heatherhaven.core.logic.policy.PolicyState;
import org.heatherhaven.core.logic.pressure.RoutePressure;
import org.heatherhaven.core.logic.pressure.RouteThresholds;
import org.heatherhaven.core.logic.quota.QuotaState;
import org.heatherhaven.core.logic.registration.RegistrationState;
import org.heatherhaven.core.logic.retry.RetryBudget;
import org.heatherhaven.core.logic.routing.RoutingState;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.TargetRef;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The whole state of a node, replaced with every event.
 *
 * @param rules settings of its decision logic
 * @param policy the policy in force and its age
 * @param fleet members of the fleet, with this node
 * @param announcement what this node knows of its own announcement on the platform
 * @param routing load and failures of targets, for routing
 * @param entryThresholds admission thresholds reported by targets, applied where calls enter
 * @param routePressure pressure behind each route, as reported by targets
 * @param callGraph estimated calls that the target makes per run of each route
 * @param admission queued and running calls at this node's target
 * @param registration latest report of the target
 * @param entryCalls calls that entered at this node
 * @param retryBudget retries that may be admitted to the target
 * @param leases exclusive leases that this node holds or is standby of
 * @param quota tokens of the teams' rates, lent and borrowed
 * @param placement owners of the shares of the teams' rates
 * @param idempotency idempotency ledgers
 * @param incomingHandovers handovers of which some pages have arrived, by lease
 * @param drainingSince when the drain began, empty if none has
 * @param lastEventAt time of the last event
 * @param oldestValidLink offers on connections with lower numbers are dropped
 * @param resumedAfterPause true from the end of a pause of the process until old connections are closed
 * @param watcherRole whether this node watches the platform for its zone
 * @param eventCount number of events handled so far
 */
public record NodeState(
        NodeRules rules,
        PolicyState policy,
        MembershipState fleet,
        AnnouncementState announcement,
        RoutingState routing,
        RouteThresholds entryThresholds,
        RoutePressure routePressure,
        CallGraphState callGraph,
        AdmissionState admission,
        RegistrationState registration,
        EntryCallsState entryCalls,
        RetryBudget retryBudget,
        LeasesState leases,
        QuotaState quota,
        PlacementState placement,
        IdempotencyState idempotency,
        PMap<LeaseId, IncomingHandover> incomingHandovers,
        Optional<Instant> drainingSince,
        Instant lastEventAt,
        long oldestValidLink,
        boolean resumedAfterPause,
        WatcherRole watcherRole,
        long eventCount) {

    /**
     * Returns the state of a node that has just started and has a target that does not report itself.
     *
     * @param rules settings of its decision logic
     * @param self the node as it announces itself to the fleet
     * @param now start of the node
     * @return the state
     */
    public static NodeState start(NodeRules rules, Member self, Instant now) {
        return start(rules, self, Optional.of(new TargetRef("", "")), now);
    }

    /**
     * Returns the state of a node that has just started.
     *
     * @param rules settings of its decision logic
     * @param self the node as it announces itself to the fleet
     * @param target its target; empty if the target will report itself
     * @param now start of the node
     * @return the state
     */
    public static NodeState start(NodeRules rules, Member self, Optional<TargetRef> target, Instant now) {
        AdmissionState admission = AdmissionState.start(rules.admission(), self.slots(), now);
        return new NodeState(
                rules,
                PolicyState.start(now),
                MembershipState.start(self, now),
                AnnouncementState.start(now),
                RoutingState.EMPTY,
                RouteThresholds.EMPTY,
                RoutePressure.EMPTY,
                CallGraphState.EMPTY,
                target.map(targetRef ->
                                AdmissionLogic.targetAvailable(admission, targetRef, self.service(), self.slots()))
                        .orElse(admission),
                target.isPresent() ? RegistrationState.NONE : RegistrationState.start(now),
                EntryCallsState.EMPTY,
                RetryBudget.start(now),
                LeasesState.start(self.owner(), now),
                QuotaState.start(now),
                PlacementState.start(now.plus(PlacementLogic.JOIN_DELAY)),
                IdempotencyState.EMPTY,
                HashTreePMap.empty(),
                Optional.empty(),
                now,
                0,
                false,
                new WatcherRole(false, now),
                0);
    }
}
