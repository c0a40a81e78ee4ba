package org.heatherhaven.core.logic.node;

import java.time.Instant;
import java.util.Optional;

import org.heatherhaven.core.logic.admission.GuardLogic;
import org.heatherhaven.core.logic.admission.GuardState;
import org.heatherhaven.core.logic.call.CallsState;
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
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Member;
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
 * @param pressure overload behind routes
 * @param routePressure pressure behind routes
 * @param callGraph calls that the target makes
 * @param guard calls at the node's own target
 * @param registration what the target said of itself
 * @param calls calls that entered here
 * @param repeats repeats that may be let in to the target
 * @param rights exclusive rights
 * @param quota tokens lent and borrowed
 * @param placement the members that own shares of rates
 * @param once idempotency ledgers
 * @param incoming hand-overs that are arriving
 * @param drainingSince when the drain began
 * @param steppedAt time of the last step
 * @param linkFloor offers of connections with lower numbers are void
 * @param thawing true from the end of a pause until old connections are closed
 * @param duties tasks that this node does for its zone
 * @param steps number of steps so far
 */
public record NodeState(
        NodeRules rules,
        PolicyState policy,
        MembershipState fleet,
        RoutingState routing,
        PressureState pressure,
        RoutePressure routePressure,
        CallGraphState callGraph,
        GuardState guard,
        RegistrationState registration,
        CallsState calls,
        RepeatAllowance repeats,
        RightsState rights,
        QuotaState quota,
        PlacementState placement,
        OnceState once,
        PMap<LeaseId, Incoming> incoming,
        Optional<Instant> drainingSince,
        Instant steppedAt,
        long linkFloor,
        boolean thawing,
        Duties duties,
        long steps) {

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
                CallsState.EMPTY,
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
                new Duties(false, now),
                0);
    }
}
