package org.heatherhaven.core.logic.node;

import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.logic.admission.GuardLogic;
import org.heatherhaven.core.logic.admission.GuardState;
import org.heatherhaven.core.logic.call.EntryCallsState;
import org.heatherhaven.core.logic.callgraph.CallGraphState;
import org.heatherhaven.core.logic.membership.MembershipState;
import org.heatherhaven.core.logic.once.OnceState;
import org.heatherhaven.core.logic.placement.PlacementLogic;
import org.heatherhaven.core.logic.placement.PlacementState;
import org.heatherhaven.core.logic.policy.PolicyState;
import org.heatherhaven.core.logic.pressure.PressureState;
import org.heatherhaven.core.logic.pressure.RoutePressure;
import org.heatherhaven.core.logic.quota.QuotaState;
import org.heatherhaven.core.logic.registration.RegistrationState;
import org.heatherhaven.core.logic.retry.RepeatAllowance;
import org.heatherhaven.core.logic.rights.RightsState;
import org.heatherhaven.core.logic.routing.RoutingState;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.RightId;
import org.heatherhaven.core.model.TargetRef;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * All that a node knows.
 *
 * @param rules settings of its decisions
 * @param policy the policy in force
 * @param fleet the members
 * @param routing figures of targets
 * @param entryThresholds overload behind routes
 * @param routePressure pressure behind routes
 * @param callGraph calls that the target makes
 * @param admission calls at the node's own target
 * @param registration what the target said of itself
 * @param entryCalls calls that entered here
 * @param retryBudget repeats that may be let in to the target
 * @param leases exclusive rights
 * @param quota tokens lent and borrowed
 * @param placement the members that own shares of rates
 * @param idempotency idempotency ledgers
 * @param incomingHandovers hand-overs that are arriving
 * @param drainingSince when the drain began
 * @param lastEventAt time of the last step
 * @param oldestValidLink offers of connections with lower numbers are void
 * @param resumedAfterPause true from the end of a pause until old connections are closed
 * @param watcherRole tasks that this node does for its zone
 * @param eventCount number of steps so far
 */
public record NodeState(
        NodeRules rules,
        PolicyState policy,
        MembershipState fleet,
        RoutingState routing,
        PressureState entryThresholds,
        RoutePressure routePressure,
        CallGraphState callGraph,
        GuardState admission,
        RegistrationState registration,
        EntryCallsState entryCalls,
        RepeatAllowance retryBudget,
        RightsState leases,
        QuotaState quota,
        PlacementState placement,
        OnceState idempotency,
        PMap<RightId, IncomingHandover> incomingHandovers,
        Optional<Instant> drainingSince,
        Instant lastEventAt,
        long oldestValidLink,
        boolean resumedAfterPause,
        WatcherRole watcherRole,
        long eventCount) {

    /**
     * The state of a node that has just started.
     *
     * @param rules settings of its decisions
     * @param self its own account of itself
     * @param now start of the node
     * @return the state
     */
    public static NodeState start(NodeRules rules, Member self, Instant now) {
        return start(rules, self, Optional.of(new TargetRef("", "")), now);
    }

    /**
     * The state of a node that has just started.
     *
     * @param rules settings of its decisions
     * @param self the node as the fleet shall know it
     * @param target its target; absent if the target will report
     * @param now the time
     * @return the state
     */
    public static NodeState start(NodeRules rules, Member self, Optional<TargetRef> target, Instant now) {
        GuardState guard = GuardState.start(rules.admission(), self.slots(), now);
        return new NodeState(
                rules,
                PolicyState.start(now),
                MembershipState.start(self, now),
                RoutingState.EMPTY,
                PressureState.EMPTY,
                RoutePressure.EMPTY,
                CallGraphState.EMPTY,
                target.map(ref -> GuardLogic.targetIs(guard, ref, self.slots())).orElse(guard),
                RegistrationState.NONE,
                EntryCallsState.EMPTY,
                RepeatAllowance.start(now),
                RightsState.start(self.owner(), now),
                QuotaState.start(now),
                PlacementState.start(now.plus(PlacementLogic.SETTLE)),
                OnceState.EMPTY,
                HashTreePMap.empty(),
                Optional.empty(),
                now,
                0,
                false,
                new WatcherRole(false, now),
                0);
    }
}
